#ifndef POLICY_ROLLOUT_ADVANCE_H
#define POLICY_ROLLOUT_ADVANCE_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/rollout/rollout_options.h"
#include "policy/rollout/rollout_record.h"
#include "policy/rollout/rollout_stats.h"

#include <optional>
#include <span>
#include <string_view>

namespace magnolia::policy {

// Returns the next record of the rollout if one is due, to be written with a
// compare-and-swap on Record.Revision. A bad verdict or a schedule that can no
// longer be met rolls the service back; too few responses pause it at its
// current share. Returns nothing for a rollout that has ended.
[[nodiscard]] std::optional<RolloutRecord>
advance(const RolloutRecord &Record, const RolloutStats &Stats, TimePoint Now,
        const RolloutOptions &Options = {});

// Returns the record of a rollout that an operator or a watcher rolls back, or
// nothing if the rollout has already ended.
[[nodiscard]] std::optional<RolloutRecord>
rollBack(const RolloutRecord &Record, std::string_view Reason, TimePoint Now);

// Returns the latest time at which Done may be written, so that the write is
// complete DoneMargin before the deadline.
[[nodiscard]] TimePoint latestDoneTime(const RolloutRecord &Record,
                                       const RolloutOptions &Options = {});

// Returns the minimum duration of the current step, fitted to the time that is
// left.
[[nodiscard]] Duration soakTime(const RolloutRecord &Record,
                                const RolloutOptions &Options = {});

// Returns the rank of the node among the live watchers of the rollout: rank 0
// drives it, the others are standbys. All nodes with the same view compute the
// same ranks. Returns nothing if the node is not a watcher.
[[nodiscard]] std::optional<std::size_t>
driverRank(NodeId Self, std::span<const Member> Watchers,
           std::string_view RolloutId);

// Returns true if the node has to write the next record now. Rank 0 writes at
// once and the others later, so that the watchers do not all call the store at
// once. DueAt is the time at which advance() first returned a record for the
// current revision. Two concurrent drivers are harmless: the compare-and-swap
// lets only one succeed.
[[nodiscard]] bool shouldDrive(NodeId Self, std::span<const Member> Watchers,
                               std::string_view RolloutId, TimePoint DueAt,
                               TimePoint Now,
                               const RolloutOptions &Options = {});

} // namespace magnolia::policy

#endif
