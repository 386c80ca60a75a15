#ifndef POLICY_FLEET_JOIN_STATE_H
#define POLICY_FLEET_JOIN_STATE_H

#include "policy/core/types.h"
#include "policy/fleet/join_options.h"

#include <optional>

namespace magnolia::policy {

// Progress of a node in joining the fleet, which decides when it uses the
// store.
struct JoinState {
  JoinOptions Options;
  // Time until which a node without other members waits for one.
  TimePoint AloneUntil;
  std::optional<TimePoint> JoinedAt;
  TimePoint NextContactRead;
  TimePoint NextContactWrite;
  bool Watching = false;
};

} // namespace magnolia::policy

#endif
