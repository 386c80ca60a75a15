#ifndef POLICY_MEMBERSHIP_INTERNAL_SELECT_H
#define POLICY_MEMBERSHIP_INTERNAL_SELECT_H

#include "policy/core/types.h"
#include "policy/membership/membership_state.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace magnolia::policy::internal {

// Up to Count different live members, this node and Excluded left out. Looks at
// a bounded number of members.
[[nodiscard]] std::vector<NodeId> randomLive(const MembershipState &State,
                                             std::size_t Count, NodeId Excluded,
                                             RandomEngine &Random);

// A random unreachable member, if a bounded number of samples finds one.
[[nodiscard]] std::optional<NodeId>
randomUnreachable(const MembershipState &State, RandomEngine &Random);

// Next member of the shuffled round; starts a new round at the end of one.
[[nodiscard]] std::optional<NodeId> nextInRound(MembershipState &State,
                                                RandomEngine &Random);

} // namespace magnolia::policy::internal

#endif
