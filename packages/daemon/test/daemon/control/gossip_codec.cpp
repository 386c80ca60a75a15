#include "daemon/control/gossip_codec.h"

#include "policy/membership/member.h"
#include "policy/membership/membership_message.h"

#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <wire/gossip.pb.h>

namespace magnolia::daemon {
namespace {

policy::Member sample() {
  return {.Node = 7,
          .Address = "127.0.0.1",
          .PeerPort = 1,
          .ControlPort = 2,
          .GossipPort = 3,
          .HttpPort = 4,
          .Region = "r",
          .Zone = "z",
          .Service = "s",
          .Version = "v",
          .Run = 5,
          .RecordVersion = 6,
          .State = policy::MemberState::Suspect,
          .Draining = true};
}

// Guards against a field that encoding or decoding loses.
TEST(GossipCodec, KeepsEveryField) {
  EXPECT_EQ(toMember(toRecord(sample())), sample());
  const policy::MembershipMessage Message = {
      .Type = policy::MessageType::PingRequest,
      .Sequence = 9,
      .From = sample(),
      .Target = 8,
      .Updates = {sample()},
      .ConfigDigest = 10,
      .MemberDigest = 11};
  const auto Read = toMessage(toDatagram(Message));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->Type, Message.Type);
  EXPECT_EQ(Read->Sequence, Message.Sequence);
  EXPECT_EQ(Read->From, Message.From);
  EXPECT_EQ(Read->Target, Message.Target);
  EXPECT_EQ(Read->Updates, Message.Updates);
  EXPECT_EQ(Read->ConfigDigest, Message.ConfigDigest);
  EXPECT_EQ(Read->MemberDigest, Message.MemberDigest);
}

struct BadRecord {
  const char *Guards;
  std::function<void(wire::MemberRecord &)> Invalidate;
};

class BadRecords : public testing::TestWithParam<BadRecord> {};

TEST_P(BadRecords, AreRejected) {
  SCOPED_TRACE(GetParam().Guards);
  wire::MemberRecord Record = toRecord(sample());
  GetParam().Invalidate(Record);
  EXPECT_FALSE(toMember(Record));
}

INSTANTIATE_TEST_SUITE_P(
    GossipCodec, BadRecords,
    testing::Values(
        BadRecord{"a member without an identity",
                  [](auto &Record) { Record.set_node(0); }},
        BadRecord{"a member that cannot be reached",
                  [](auto &Record) { Record.clear_address(); }},
        BadRecord{"a port that does not fit 16 bits",
                  [](auto &Record) { Record.set_peer_port(70000); }},
        BadRecord{"a state of a later version",
                  [](auto &Record) {
                    Record.set_state(static_cast<wire::MemberState>(9));
                  }},
        BadRecord{"a name long enough to exhaust memory", [](auto &Record) {
                    Record.set_service(std::string(4096, 'x'));
                  }}));

} // namespace
} // namespace magnolia::daemon
