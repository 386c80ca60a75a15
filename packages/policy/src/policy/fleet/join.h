#ifndef POLICY_FLEET_JOIN_H
#define POLICY_FLEET_JOIN_H

#include "policy/fleet/join_state.h"
#include "policy/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace magnolia::policy {

[[nodiscard]] JoinState makeJoin(TimePoint Now, RandomEngine &Random,
                                 const JoinOptions &Options = {});

// Updates the number of known members, including this node.
void onMembers(JoinState &State, std::size_t Known, TimePoint Now);

// Returns true if the contacts have to be read from the store now; at most once
// per period.
[[nodiscard]] bool takeContactRead(JoinState &State, TimePoint Now);

// Decides whether the node watches the store. IsWatcher is true if its rank in
// its zone makes it a watcher. Returns true if the decision changed.
bool updateWatch(JoinState &State, bool IsWatcher, TimePoint Now);

// Returns true if a watcher has to check its contact record now; at most once
// per period.
[[nodiscard]] bool takeContactWrite(JoinState &State, TimePoint Now);

// Returns the slot of this node's contact record: its rank among the watchers
// of its zone.
[[nodiscard]] std::uint32_t contactSlot(const Member &Self,
                                        std::span<const Member> Watchers);

// Returns the random delay after a number of consecutive failed calls. The
// range doubles with each failure, and the jitter prevents the watchers of a
// fleet from calling a recovering store at the same time.
[[nodiscard]] Duration storeBackoff(int Failures, RandomEngine &Random,
                                    const JoinOptions &Options = {});

} // namespace magnolia::policy

#endif
