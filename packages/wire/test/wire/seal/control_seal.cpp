#include "wire/seal/control_seal.h"

#include "wire/seal/seal.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace magnolia::wire {
namespace {

constexpr std::string_view Key = "0123456789abcdef0123456789abcdef";

ControlBody sampleBody() {
  ControlBody Body;
  Body.set_from(7);
  Body.set_method("status");
  Body.mutable_status();
  return Body;
}

TEST(Seal, AuthenticMessageIsAccepted) {
  policy::Error LastError;
  const auto Body = open(Key, seal(Key, sampleBody()), LastError);
  ASSERT_TRUE(Body) << LastError.Detail;
  EXPECT_EQ(Body->from(), 7U);
  EXPECT_TRUE(Body->has_status());
}

struct RejectRow {
  const char *GuardsAgainst;
  std::function<void(SealedMessage &)> Change;
  std::string_view OpenKey = Key;
};

TEST(Seal, RejectsMessagesThatAreNotAuthentic) {
  const RejectRow Rows[] = {
      {"a body changed in transit",
       [](SealedMessage &M) { (*M.mutable_body())[0] ^= 1; }},
      {"a tag changed in transit",
       [](SealedMessage &M) { (*M.mutable_tag())[31] ^= 1; }},
      {"a sender without a key", [](SealedMessage &M) { M.clear_tag(); }},
      {"a truncated tag that matches over its length",
       [](SealedMessage &M) { M.mutable_tag()->resize(16); }},
      {"a body of unbounded size",
       [](SealedMessage &M) { M.mutable_body()->resize(MaxSealedBody + 1); }},
      {"a tag made for a gossip datagram",
       [](SealedMessage &M) {
         M.set_tag(tagOf({.Bytes = std::string(Key)}, SealPurpose::Gossip,
                         {M.body()}));
       }},
      {"a sender with another key", [](SealedMessage &) {},
       "fedcba9876543210fedcba9876543210"},
      {"a node started with an empty key", [](SealedMessage &) {}, ""},
  };
  for (const RejectRow &Row : Rows) {
    SealedMessage Message = seal(Key, sampleBody());
    Row.Change(Message);
    policy::Error LastError;
    EXPECT_FALSE(open(Row.OpenKey, Message, LastError)) << Row.GuardsAgainst;
    EXPECT_FALSE(LastError.Detail.empty()) << Row.GuardsAgainst;
  }
}

} // namespace
} // namespace magnolia::wire
