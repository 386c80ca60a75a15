#ifndef DAEMON_CONTROL_GOSSIP_CODEC_H
#define DAEMON_CONTROL_GOSSIP_CODEC_H

#include "policy/membership/fwd.h"

#include <optional>

namespace magnolia::wire {
class GossipDatagram;
class MemberRecord;
} // namespace magnolia::wire

namespace magnolia::daemon {

[[nodiscard]] wire::MemberRecord toRecord(const policy::Member &Member);

// Member of a record, or nothing where a field is out of its range.
[[nodiscard]] std::optional<policy::Member>
toMember(const wire::MemberRecord &Record);

[[nodiscard]] wire::GossipDatagram
toDatagram(const policy::MembershipMessage &Message);

// Message of a datagram, or nothing where the sender's record is invalid.
// Invalid updates are left out.
[[nodiscard]] std::optional<policy::MembershipMessage>
toMessage(const wire::GossipDatagram &Datagram);

} // namespace magnolia::daemon

#endif
