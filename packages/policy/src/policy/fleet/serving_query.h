#ifndef POLICY_FLEET_SERVING_QUERY_H
#define POLICY_FLEET_SERVING_QUERY_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/rollout/rollout_record.h"

#include <chrono>
#include <span>
#include <string_view>

namespace magnolia::policy {

// Information of a node about one service.
struct ServingQuery {
  const Member &Self;
  // Members with this service, in every state.
  std::span<const Member *const> Members;
  // Version that serves while there is no rollout record; if empty, all
  // versions serve.
  std::string_view Version;
  // Version of a rollout request whose rollout has not begun; empty if there is
  // none.
  std::string_view RequestedVersion;
  // Record of the last rollout; null if there was none.
  const RolloutRecord *Rollout = nullptr;
  // Round-trip cost of a request to another zone of the region, and to another
  // region.
  Duration ZoneDistance = std::chrono::milliseconds(2);
  Duration RegionDistance = std::chrono::milliseconds(30);
};

} // namespace magnolia::policy

#endif
