#ifndef POLICY_FLEET_RESTORE_STATE_H
#define POLICY_FLEET_RESTORE_STATE_H

#include "policy/core/types.h"
#include "policy/fleet/restore_options.h"

#include <cstdint>
#include <optional>

namespace magnolia::policy {

// What a node still has to do because the store was restored from a copy.
struct RestoreState {
  RestoreOptions Options;
  // Highest epoch of the store that the node has seen; empty before the first
  // entry.
  std::optional<std::uint64_t> Epoch;
  // Time from which on an absent key counts as deleted.
  TimePoint SettledAt;
  // Times of the next write of the local backend server's report and of the
  // next full read, if they are due.
  std::optional<TimePoint> ReportAt;
  std::optional<TimePoint> ReadAt;
};

} // namespace magnolia::policy

#endif
