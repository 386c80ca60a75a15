#ifndef POLICY_MOVE_ADVANCE_H
#define POLICY_MOVE_ADVANCE_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/move/move_evidence.h"
#include "policy/move/move_options.h"
#include "policy/move/move_record.h"

#include <optional>
#include <span>
#include <string_view>

namespace magnolia::policy {

// Next record of the move, where one is due, for a compare-and-swap on
// Record.Revision. A bad verdict and a schedule that can no longer be met take
// the move back; too little evidence holds it at its share. Ended moves stay
// as they are.
[[nodiscard]] std::optional<MoveRecord>
advance(const MoveRecord &Record, const MoveEvidence &Evidence, TimePoint Now,
        const MoveOptions &Options = {});

// Record of a move that an operator or a watcher takes back; empty where it has
// ended.
[[nodiscard]] std::optional<MoveRecord>
takeBack(const MoveRecord &Record, std::string_view Reason, TimePoint Now);

// Last time at which Done may be written: the write is complete DoneMargin
// before the deadline.
[[nodiscard]] TimePoint lastDone(const MoveRecord &Record,
                                 const MoveOptions &Options = {});

// Time that the present step lasts at least, fitted to what is left.
[[nodiscard]] Duration soakOf(const MoveRecord &Record,
                              const MoveOptions &Options = {});

// Rank of the node among the live watchers as driver of the move: 0 drives,
// others step in. All nodes with the same view agree. Empty where the node is
// not among them.
[[nodiscard]] std::optional<std::size_t>
driverRank(NodeId Self, std::span<const Member> Watchers,
           std::string_view MoveId);

// True where the node is to write the next record now: at once for rank 0,
// later for the others, so that the store isn't asked by all watchers at once.
// DueAt is when advance() first returned a record for the present revision.
// Two drivers at a time are harmless, the compare-and-swap lets one win.
[[nodiscard]] bool shouldDrive(NodeId Self, std::span<const Member> Watchers,
                               std::string_view MoveId, TimePoint DueAt,
                               TimePoint Now, const MoveOptions &Options = {});

} // namespace magnolia::policy

#endif
