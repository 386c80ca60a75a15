#ifndef POLICY_MOVE_MOVE_RECORD_H
#define POLICY_MOVE_MOVE_RECORD_H

#include "policy/core/types.h"

#include <cstdint>
#include <string>

namespace magnolia::policy {

enum class MovePhase : std::uint8_t {
  Planned,
  Shifting,
  // Ends: the new version serves everything, or the old one does.
  Done,
  TakenBack,
};

// The move of a service's traffic from one version to another, as in the key
// moves/<service>. The record in the store is the sole authority on the end.
// All time points are wall-clock time since the Unix epoch.
struct MoveRecord {
  std::string Service;
  std::string FromVersion;
  std::string ToVersion;
  // Unique per move, so that evidence and verdicts of an earlier move of the
  // service are told apart.
  std::string Id;
  TimePoint Start;
  TimePoint Deadline;
  MovePhase Phase = MovePhase::Planned;
  // Index of the share in the schedule; see MoveOptions.
  std::uint32_t Step = 0;
  TimePoint StepSince;
  // Part of the traffic from 0 to 1 that goes to the new version.
  double Share = 0.0;
  // When the move ended and why, for operators.
  TimePoint EndedAt;
  std::string EndReason;
  // Revision of the store entry that holds the record: what the next
  // compare-and-swap expects. Not part of the stored value.
  std::uint64_t Revision = 0;

  bool operator==(const MoveRecord &) const = default;
};

[[nodiscard]] inline bool hasEnded(const MoveRecord &Record) {
  return Record.Phase == MovePhase::Done ||
         Record.Phase == MovePhase::TakenBack;
}

} // namespace magnolia::policy

#endif
