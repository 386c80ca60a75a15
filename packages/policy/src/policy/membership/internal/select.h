#ifndef POLICY_MEMBERSHIP_INTERNAL_SELECT_H
#define POLICY_MEMBERSHIP_INTERNAL_SELECT_H

#include "policy/core/types.h"
#include "policy/membership/membership_state.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace magnolia::policy::internal {

// Returns up to Count different live members, without this node and Excluded.
// Samples a limited number of members.
[[nodiscard]] std::vector<NodeId> randomLive(const MembershipState &State,
                                             std::size_t Count, NodeId Excluded,
                                             RandomEngine &Random);

// Returns a random unreachable member if a limited number of samples finds one.
[[nodiscard]] std::optional<NodeId>
randomUnreachable(const MembershipState &State, RandomEngine &Random);

// Returns the next member of the shuffled round, and starts a new round after
// the last one.
[[nodiscard]] std::optional<NodeId> nextInRound(MembershipState &State,
                                                RandomEngine &Random);

} // namespace magnolia::policy::internal

#endif
