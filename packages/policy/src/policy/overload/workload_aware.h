#ifndef POLICY_OVERLOAD_WORKLOAD_AWARE_H
#define POLICY_OVERLOAD_WORKLOAD_AWARE_H

#include <cstdint>
#include <string_view>

namespace magnolia::policy {

// Setting that switches admission by workload: Auto follows the routing table.
enum class WorkloadSetting : std::uint8_t { Off, Auto, On };

// Returns the setting with the name off, auto or on; Off for any other text.
[[nodiscard]] WorkloadSetting workloadSettingOf(std::string_view Name);

// Returns whether admission weighs nested calls, priorities and the losses of
// nested calls. HasBulkRoutes is true if the routing table in effect has routes
// with large request or response bodies.
[[nodiscard]] bool isWorkloadAware(WorkloadSetting Setting, bool HasBulkRoutes);

} // namespace magnolia::policy

#endif
