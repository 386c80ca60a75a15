#ifndef POLICY_ROLLOUT_DRIVE_STATE_H
#define POLICY_ROLLOUT_DRIVE_STATE_H

#include "policy/core/types.h"
#include "policy/rollout/rollout_stats.h"

#include <cstdint>

namespace magnolia::policy {

// State of a watcher for one rollout, which it drives or may take over from the
// driver.
struct DriveState {
  RolloutStats Stats;
  // Revision for which the next record is due, or 0 if none is due, and the
  // time since when it is due.
  std::uint64_t DueRevision = 0;
  TimePoint DueAt;
  // True while a write is pending: a node has at most one pending write per
  // rollout.
  bool Writing = false;
  // Time before which a lost record is not written again.
  TimePoint NextRewrite;
  std::uint64_t Writes = 0;
  // Writes that lost the compare-and-swap or got no response from the store.
  std::uint64_t FailedWrites = 0;
};

} // namespace magnolia::policy

#endif
