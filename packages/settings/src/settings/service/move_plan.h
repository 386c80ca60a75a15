#ifndef SETTINGS_SERVICE_MOVE_PLAN_H
#define SETTINGS_SERVICE_MOVE_PLAN_H

#include "settings/service/move_deadline.h"

#include <string>

namespace magnolia::settings {

// Rollout that a service file or an operator requests.
struct MovePlan {
  std::string From;
  std::string To;
  MoveDeadline Deadline;

  bool operator==(const MovePlan &) const = default;
};

} // namespace magnolia::settings

#endif
