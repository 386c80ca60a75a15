#ifndef POLICY_MOVE_DRIVE_STATE_H
#define POLICY_MOVE_DRIVE_STATE_H

#include "policy/core/types.h"
#include "policy/move/move_evidence.h"

#include <cstdint>

namespace magnolia::policy {

// What a watcher keeps per move to drive it, or to take over from the driver.
struct DriveState {
  MoveEvidence Evidence;
  // Revision that the next record was due for, and since when. 0 where none
  // is due.
  std::uint64_t DueRevision = 0;
  TimePoint DueAt;
  // True from a write to its outcome: a node has one write of a move at a
  // time.
  bool Writing = false;
  std::uint64_t Writes = 0;
  // Writes that another writer won, or that the store did not answer.
  std::uint64_t FailedWrites = 0;
};

} // namespace magnolia::policy

#endif
