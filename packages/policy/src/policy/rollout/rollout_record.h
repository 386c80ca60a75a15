#ifndef POLICY_ROLLOUT_ROLLOUT_RECORD_H
#define POLICY_ROLLOUT_ROLLOUT_RECORD_H

#include "policy/core/types.h"

#include <cstdint>
#include <string>

namespace magnolia::policy {

enum class RolloutPhase : std::uint8_t {
  Planned,
  Shifting,
  // Final phases: the new version serves all requests, or the old one does.
  Done,
  RolledBack,
};

// The rollout that moves the traffic of a service from one version to another,
// as stored under the key moves/<service>. Only the record in the store decides
// how the rollout ended. All time points are wall-clock time since the Unix
// epoch.
struct RolloutRecord {
  std::string Service;
  std::string FromVersion;
  std::string ToVersion;
  // Unique per rollout, so that statistics and verdicts of an earlier rollout
  // of the service can be told apart.
  std::string Id;
  TimePoint Start;
  TimePoint Deadline;
  RolloutPhase Phase = RolloutPhase::Planned;
  // Index of the share in the schedule; see RolloutOptions.
  std::uint32_t Step = 0;
  TimePoint StepSince;
  // Share of the traffic, from 0 to 1, that goes to the new version.
  double Share = 0.0;
  // Time and reason of the end of the rollout, for operators.
  TimePoint EndedAt;
  std::string EndReason;
  // Revision of the store entry that holds the record, which the next
  // compare-and-swap expects. Not part of the stored value.
  std::uint64_t Revision = 0;
  // False if the store lost this record and holds an earlier one, or none, at
  // Revision. Not part of the stored value.
  bool Stored = true;

  bool operator==(const RolloutRecord &) const = default;
};

[[nodiscard]] inline bool hasEnded(const RolloutRecord &Record) {
  return Record.Phase == RolloutPhase::Done ||
         Record.Phase == RolloutPhase::RolledBack;
}

} // namespace magnolia::policy

#endif
