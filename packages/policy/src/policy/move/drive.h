#ifndef POLICY_MOVE_DRIVE_H
#define POLICY_MOVE_DRIVE_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/move/drive_state.h"
#include "policy/move/move_options.h"
#include "policy/move/move_record.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia::policy {

// Watchers that collect the evidence of a move: the driver and the one that
// takes over, for example where only the driver has lost the store.
inline constexpr std::size_t MoveCollectors = 2;

// Record that this node is to write now by compare-and-swap, where it is its
// turn. The state counts the write as begun; report its outcome with
// onWritten(). Held is what the node's own brake holds of the new version.
[[nodiscard]] std::optional<MoveRecord>
nextWrite(DriveState &State, const MoveRecord &Record, const Verdict &Held,
          NodeId Self, std::span<const Member> Watchers, TimePoint WallNow,
          const MoveOptions &Options = {});

// Ends the write that nextWrite() began.
void onWritten(DriveState &State, bool Written);

// The watchers to which an entry node sends its evidence and verdicts.
[[nodiscard]] std::vector<Member> collectorsOf(std::span<const Member> Watchers,
                                               std::string_view MoveId);

} // namespace magnolia::policy

#endif
