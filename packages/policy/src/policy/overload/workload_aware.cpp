#include "policy/overload/workload_aware.h"

namespace magnolia::policy {

WorkloadSetting workloadSettingOf(std::string_view Name) {
  if (Name == "on") {
    return WorkloadSetting::On;
  }
  return Name == "auto" ? WorkloadSetting::Auto : WorkloadSetting::Off;
}

bool isWorkloadAware(WorkloadSetting Setting, bool HasBulkRoutes) {
  return Setting == WorkloadSetting::On ||
         (Setting == WorkloadSetting::Auto && HasBulkRoutes);
}

} // namespace magnolia::policy
