#ifndef POLICY_ROLLOUT_DRIVE_H
#define POLICY_ROLLOUT_DRIVE_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/rollout/drive_state.h"
#include "policy/rollout/rollout_options.h"
#include "policy/rollout/rollout_record.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia::policy {

// Number of watchers that collect the response statistics of a rollout: the
// driver and its first standby, which takes over, for example, if only the
// driver has lost the store.
inline constexpr std::size_t RolloutCollectors = 2;

// Returns the record that this node has to write now by compare-and-swap, or
// nothing if no write is due or another node has to write it. A record that the
// store lost is due as it is, also after its rollout has ended. The state
// counts the write as started; report its outcome with onWritten(). Held is the
// current verdict of the node's own breaker on the new version.
[[nodiscard]] std::optional<RolloutRecord>
nextWrite(DriveState &State, const RolloutRecord &Record,
          const Verdict &Current, NodeId Self, std::span<const Member> Watchers,
          TimePoint WallNow, const RolloutOptions &Options = {});

// Records the outcome of the write that nextWrite() started.
void onWritten(DriveState &State, bool Written);

// Returns the watchers to which an entry node sends its response statistics and
// verdicts.
[[nodiscard]] std::vector<Member> collectorsOf(std::span<const Member> Watchers,
                                               std::string_view RolloutId);

} // namespace magnolia::policy

#endif
