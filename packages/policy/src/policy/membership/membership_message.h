#ifndef POLICY_MEMBERSHIP_MEMBERSHIP_MESSAGE_H
#define POLICY_MEMBERSHIP_MEMBERSHIP_MESSAGE_H

#include "policy/core/types.h"
#include "policy/membership/member.h"

#include <cstdint>
#include <vector>

namespace magnolia::policy {

enum class MessageType : std::uint8_t { Ping, Ack, PingRequest };

// One gossip datagram, field by field as in wire/gossip.proto.
struct MembershipMessage {
  MessageType Type = MessageType::Ping;
  // Matches an Ack to its Ping. 0 in a Ping that only carries updates and needs
  // no Ack.
  std::uint64_t Sequence = 0;
  Member From;
  // Node from which an Ack is requested (Ping, PingRequest) or reported (Ack).
  // 0 in a Ping to a contact whose identity is not known.
  NodeId Target = 0;
  std::vector<Member> Updates;
  // Digests of the sender's tables, for anti-entropy. The caller sets
  // ConfigDigest before it sends.
  std::uint64_t ConfigDigest = 0;
  std::uint64_t MemberDigest = 0;
};

} // namespace magnolia::policy

#endif
