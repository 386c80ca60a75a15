#ifndef POLICY_FLEET_SERVING_PLAN_H
#define POLICY_FLEET_SERVING_PLAN_H

#include "policy/fleet/serving_member.h"

#include <string>
#include <vector>

namespace magnolia::policy {

// The members that currently serve a service, and how a rollout splits its
// requests.
struct ServingPlan {
  std::vector<ServingMember> Members;
  // Empty if no rollout is in progress.
  std::string RolloutId;
  std::string OldVersion;
  std::string NewVersion;
  // Share of the requests, from 0 to 1, that goes to the new version.
  double NewShare = 0;
  // True if the plan changes with time alone and has to be recomputed.
  bool IsTimeDependent = false;
};

} // namespace magnolia::policy

#endif
