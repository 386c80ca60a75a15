#ifndef POLICY_FLEET_JOIN_STATE_H
#define POLICY_FLEET_JOIN_STATE_H

#include "policy/core/types.h"
#include "policy/fleet/join_options.h"

#include <optional>

namespace magnolia::policy {

// How far a node has joined the fleet; decides when it turns to the store.
struct JoinState {
  JoinOptions Options;
  // Until when a node without other members waits for one.
  TimePoint AloneUntil;
  std::optional<TimePoint> JoinedAt;
  TimePoint NextContactRead;
  TimePoint NextContactWrite;
  bool Watching = false;
};

} // namespace magnolia::policy

#endif
