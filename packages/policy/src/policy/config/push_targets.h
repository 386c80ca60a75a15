#ifndef POLICY_CONFIG_PUSH_TARGETS_H
#define POLICY_CONFIG_PUSH_TARGETS_H

#include "policy/config/push_options.h"
#include "policy/core/types.h"
#include "policy/membership/member.h"

#include <cstddef>
#include <span>
#include <vector>

namespace magnolia::policy {

// Number of members of each zone that watch the store.
inline constexpr std::size_t WatchersPerZone = 2;

// Returns the members to which a node pushes an entry that is new to it: random
// ones of its own zone and, if the node is the origin, random ones of each
// other zone. Excludes members that are Unreachable or Left.
[[nodiscard]] std::vector<Member> pushTargets(const Member &Self,
                                              std::span<const Member> Members,
                                              const PushOptions &Options,
                                              RandomEngine &Random);

// Returns true if the node is one of the Count live members of its zone that
// watch the store. All nodes with the same view of the zone agree without
// exchanging messages. Members of other zones in the span are ignored.
[[nodiscard]] bool isWatcher(const Member &Self,
                             std::span<const Member> Members,
                             std::size_t Count = WatchersPerZone);

// Returns the watchers of all zones in one pass over the members. isWatcher()
// is true for each of them.
[[nodiscard]] std::vector<Member>
watchersOf(std::span<const Member> Members,
           std::size_t Count = WatchersPerZone);

} // namespace magnolia::policy

#endif
