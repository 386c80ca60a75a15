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

// Notes the number of members known, the own node included.
void onMembers(JoinState &State, std::size_t Known, TimePoint Now);

// True where the contacts are to be read from the store now; once per period.
[[nodiscard]] bool takeContactRead(JoinState &State, TimePoint Now);

// Decides whether the node watches the store; IsWatcher is its rank in the
// fleet. Returns whether the decision changed.
bool updateWatch(JoinState &State, bool IsWatcher, TimePoint Now);

// True where a watcher is to check its contact record now; once per period.
[[nodiscard]] bool takeContactWrite(JoinState &State, TimePoint Now);

// Slot of the own contact record: the rank among the watchers of the zone.
[[nodiscard]] std::uint32_t contactSlot(const Member &Self,
                                        std::span<const Member> Watchers);

// Random pause after a number of failed calls in a row. It doubles, and is
// random so that the watchers of a fleet do not return to a recovering store
// at the same moment.
[[nodiscard]] Duration storeBackoff(int Failures, RandomEngine &Random,
                                    const JoinOptions &Options = {});

} // namespace magnolia::policy

#endif
