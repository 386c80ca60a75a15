#ifndef POLICY_FLEET_SERVING_PLAN_H
#define POLICY_FLEET_SERVING_PLAN_H

#include "policy/fleet/serving_member.h"

#include <string>
#include <vector>

namespace magnolia::policy {

// Which members serve one service now, and how a move splits its requests.
struct ServingPlan {
  std::vector<ServingMember> Members;
  // Empty where no move is in progress.
  std::string MoveId;
  std::string OldVersion;
  std::string NewVersion;
  // Share of the requests that goes to the new version, 0 to 1.
  double NewShare = 0;
  // True where the plan changes with time alone and has to be made anew.
  bool Varies = false;
};

} // namespace magnolia::policy

#endif
