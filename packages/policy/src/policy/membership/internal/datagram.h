#ifndef POLICY_MEMBERSHIP_INTERNAL_DATAGRAM_H
#define POLICY_MEMBERSHIP_INTERNAL_DATAGRAM_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/membership/membership_action.h"
#include "policy/membership/membership_state.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::policy::internal {

// Size of the record in the protobuf encoding of wire/gossip.proto.
[[nodiscard]] std::size_t encodedSize(const Member &Record);

// Size of the whole datagram without authentication.
[[nodiscard]] std::size_t encodedSize(const MembershipMessage &Message);

// Datagram to a member with the updates that are due. What the target's own
// record says comes first where the target should refute it.
[[nodiscard]] MembershipAction compose(MembershipState &State, MessageType Type,
                                       const Member &To, std::uint64_t Sequence,
                                       NodeId Target, TimePoint Now);

} // namespace magnolia::policy::internal

#endif
