#include "daemon/control/gossip_codec.h"

#include "policy/membership/member.h"
#include "policy/membership/membership_message.h"
#include "settings/record/limits.h"

#include <limits>
#include <wire/gossip.pb.h>

namespace magnolia::daemon {

namespace {

constexpr std::size_t MaximumNameBytes = settings::MaxLabelSize;

bool isPort(std::uint32_t Value) {
  return Value <= std::numeric_limits<std::uint16_t>::max();
}

bool isValid(const wire::MemberRecord &Record) {
  return Record.node() != 0 && !Record.address().empty() &&
         Record.address().size() <= MaximumNameBytes &&
         Record.region().size() <= MaximumNameBytes &&
         Record.zone().size() <= MaximumNameBytes &&
         Record.service().size() <= MaximumNameBytes &&
         Record.version().size() <= MaximumNameBytes &&
         isPort(Record.peer_port()) && isPort(Record.control_port()) &&
         isPort(Record.gossip_port()) && isPort(Record.http_port()) &&
         wire::MemberState_IsValid(Record.state());
}

} // namespace

wire::MemberRecord toRecord(const policy::Member &Member) {
  wire::MemberRecord Record;
  Record.set_node(Member.Node);
  Record.set_address(Member.Address);
  Record.set_peer_port(Member.PeerPort);
  Record.set_control_port(Member.ControlPort);
  Record.set_gossip_port(Member.GossipPort);
  Record.set_http_port(Member.HttpPort);
  Record.set_region(Member.Region);
  Record.set_zone(Member.Zone);
  Record.set_service(Member.Service);
  Record.set_version(Member.Version);
  Record.set_incarnation(Member.Run);
  Record.set_beat(Member.RecordVersion);
  Record.set_state(static_cast<wire::MemberState>(Member.State));
  Record.set_draining(Member.Draining);
  return Record;
}

std::optional<policy::Member> toMember(const wire::MemberRecord &Record) {
  if (!isValid(Record)) {
    return std::nullopt;
  }
  return policy::Member{
      .Node = Record.node(),
      .Address = Record.address(),
      .PeerPort = static_cast<std::uint16_t>(Record.peer_port()),
      .ControlPort = static_cast<std::uint16_t>(Record.control_port()),
      .GossipPort = static_cast<std::uint16_t>(Record.gossip_port()),
      .HttpPort = static_cast<std::uint16_t>(Record.http_port()),
      .Region = Record.region(),
      .Zone = Record.zone(),
      .Service = Record.service(),
      .Version = Record.version(),
      .Run = Record.incarnation(),
      .RecordVersion = Record.beat(),
      .State = static_cast<policy::MemberState>(Record.state()),
      .Draining = Record.draining()};
}

wire::GossipDatagram toDatagram(const policy::MembershipMessage &Message) {
  wire::GossipDatagram Datagram;
  Datagram.set_type(static_cast<wire::GossipType>(Message.Type));
  Datagram.set_sequence(Message.Sequence);
  *Datagram.mutable_from() = toRecord(Message.From);
  Datagram.set_target(Message.Target);
  for (const policy::Member &Update : Message.Updates) {
    *Datagram.add_updates() = toRecord(Update);
  }
  Datagram.set_config_digest(Message.ConfigDigest);
  Datagram.set_member_digest(Message.MemberDigest);
  return Datagram;
}

std::optional<policy::MembershipMessage>
toMessage(const wire::GossipDatagram &Datagram) {
  std::optional<policy::Member> From = toMember(Datagram.from());
  if (!From || !wire::GossipType_IsValid(Datagram.type())) {
    return std::nullopt;
  }
  policy::MembershipMessage Message = {
      .Type = static_cast<policy::MessageType>(Datagram.type()),
      .Sequence = Datagram.sequence(),
      .From = *std::move(From),
      .Target = Datagram.target(),
      .Updates = {},
      .ConfigDigest = Datagram.config_digest(),
      .MemberDigest = Datagram.member_digest()};
  for (const wire::MemberRecord &Record : Datagram.updates()) {
    if (std::optional<policy::Member> Update = toMember(Record)) {
      Message.Updates.push_back(*std::move(Update));
    }
  }
  return Message;
}

} // namespace magnolia::daemon
