#ifndef POLICY_CONFIG_SPREAD_H
#define POLICY_CONFIG_SPREAD_H

#include "policy/config/push_options.h"
#include "policy/core/types.h"
#include "policy/membership/member.h"

#include <cstddef>
#include <span>
#include <vector>

namespace magnolia::policy {

// Number of members of each zone that watch the store.
inline constexpr std::size_t WatchersPerZone = 2;

// Members that a node pushes an entry to that was new to it: random ones of
// its own zone and, from an origin, random ones of each other zone. Members
// that are Unreachable or Left are left out.
[[nodiscard]] std::vector<Member> pushTargets(const Member &Self,
                                              std::span<const Member> Members,
                                              const PushOptions &Options,
                                              RandomEngine &Random);

// True where the node is one of the Count live members of its zone that watch
// the store. All nodes with the same view of the zone agree, without messages.
// Members of other zones in the span are ignored.
[[nodiscard]] bool isWatcher(const Member &Self,
                             std::span<const Member> Members,
                             std::size_t Count = WatchersPerZone);

// The watchers of all zones, in one pass over the members; each of them is one
// for isWatcher() too.
[[nodiscard]] std::vector<Member>
watchersOf(std::span<const Member> Members,
           std::size_t Count = WatchersPerZone);

} // namespace magnolia::policy

#endif
