#ifndef POLICY_MEMBERSHIP_INTERNAL_DATAGRAM_H
#define POLICY_MEMBERSHIP_INTERNAL_DATAGRAM_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/membership/membership_action.h"
#include "policy/membership/membership_state.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::policy::internal {

// Returns the size of the record in the protobuf encoding of wire/gossip.proto.
[[nodiscard]] std::size_t encodedSize(const Member &Record);

// Returns the size of the datagram without authentication.
[[nodiscard]] std::size_t encodedSize(const MembershipMessage &Message);

// Returns a datagram to a member with the updates that are due. If this node
// considers the target suspect, unreachable or left, that record comes first so
// that the target can refute it.
[[nodiscard]] MembershipAction compose(MembershipState &State, MessageType Type,
                                       const Member &To, std::uint64_t Sequence,
                                       NodeId Target, TimePoint Now);

} // namespace magnolia::policy::internal

#endif
