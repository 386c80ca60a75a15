#ifndef POLICY_FLEET_SERVING_QUERY_H
#define POLICY_FLEET_SERVING_QUERY_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/move/move_record.h"

#include <chrono>
#include <span>
#include <string_view>

namespace magnolia::policy {

// What a node knows about one service.
struct ServingQuery {
  const Member &Self;
  // Members with this service, in every state.
  std::span<const Member *const> Members;
  // Version that serves while no move is recorded; empty lets all serve.
  std::string_view Version;
  // Version of an order whose move has not begun; empty where there is none.
  std::string_view Ordered;
  // Record of the last move; null where there was none.
  const MoveRecord *Move = nullptr;
  // Cost of a request to another zone of the region, and to another region.
  Duration ZoneDistance = std::chrono::milliseconds(2);
  Duration RegionDistance = std::chrono::milliseconds(30);
};

} // namespace magnolia::policy

#endif
