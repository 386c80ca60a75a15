#ifndef SETTINGS_SERVICE_ROLLOUT_PLAN_H
#define SETTINGS_SERVICE_ROLLOUT_PLAN_H

#include "settings/service/rollout_deadline.h"

#include <string>

namespace magnolia::settings {

// Rollout that a service file or an operator requests.
struct RolloutPlan {
  std::string From;
  std::string To;
  RolloutDeadline Deadline;

  bool operator==(const RolloutPlan &) const = default;
};

} // namespace magnolia::settings

#endif
