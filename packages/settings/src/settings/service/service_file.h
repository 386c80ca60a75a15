#ifndef SETTINGS_SERVICE_SERVICE_FILE_H
#define SETTINGS_SERVICE_SERVICE_FILE_H

#include "settings/record/service_record.h"
#include "settings/service/rollout_plan.h"

#include <optional>
#include <string>

namespace magnolia::settings {

// Contents of one NAME.service.ini file.
struct ServiceFile {
  std::string Path;
  // The operation id is empty until the service is published.
  ServiceRecord Service;
  std::optional<RolloutPlan> Rollout;
};

} // namespace magnolia::settings

#endif
