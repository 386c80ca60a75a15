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

// Decodes a member. Returns nothing if a field is out of range.
[[nodiscard]] std::optional<policy::Member>
toMember(const wire::MemberRecord &Record);

[[nodiscard]] wire::GossipDatagram
toDatagram(const policy::MembershipMessage &Message);

// Decodes a message. Returns nothing if the sender's record is invalid; skips
// invalid updates.
[[nodiscard]] std::optional<policy::MembershipMessage>
toMessage(const wire::GossipDatagram &Datagram);

} // namespace magnolia::daemon

#endif
