#include "standin_store/kv_state.h"

#include <gtest/gtest.h>

namespace magnolia::standin {
namespace {

using Milliseconds = std::chrono::milliseconds;

const KvState::TimePoint Start{};

// Guards against a lease that stays valid although its holder does not renew
// it, and against one that expires although its holder does.
TEST(KvState, LeaseEndsUnlessRenewed) {
  KvState State;
  const std::uint64_t Lease = State.grant(Milliseconds(100), Start);
  EXPECT_EQ(State.put({.Key = "k", .Value = "", .Lease = Lease}, 0).Status,
            200);
  State.expire(Start + Milliseconds(99));
  EXPECT_TRUE(State.keepAlive(Lease, Start + Milliseconds(99)));
  State.expire(Start + Milliseconds(198));
  EXPECT_NE(State.find("k"), nullptr);
  State.expire(Start + Milliseconds(199));
  EXPECT_EQ(State.find("k"), nullptr);
  EXPECT_FALSE(State.keepAlive(Lease, Start + Milliseconds(199)));
  EXPECT_EQ(State.put({.Key = "l", .Value = "", .Lease = Lease}, 0).Status,
            410);
}

// Guards against a watch that misses changes older than the history.
TEST(KvState, WatchBeyondTheHistoryGetsTheFullRange) {
  KvState State({.MaxEvents = 2});
  for (const char *Key : {"a/1", "a/2", "b/1", "a/3"})
    State.put({.Key = Key, .Value = "v"}, 0);
  EXPECT_FALSE(State.changes("a/", 2).Full);
  EXPECT_EQ(State.changes("a/", 2).Events.size(), 1U);
  EXPECT_TRUE(State.changes("a/", 1).Full);
  EXPECT_EQ(State.changes("a/", 1).Events.size(), 3U);
  EXPECT_TRUE(State.changes("a/", 9).Full);
  EXPECT_TRUE(State.changes("a/", 4).Events.empty());
}

// Guards against two writers that both succeed.
TEST(KvState, OneOfTwoWritersSucceeds) {
  KvState State;
  EXPECT_EQ(State.put({.Key = "k", .Value = "1"}, 0).Revision, 1U);
  EXPECT_EQ(State.put({.Key = "k", .Value = "2"}, 1).Revision, 2U);
  const auto Second = State.put({.Key = "k", .Value = "3"}, 1);
  EXPECT_EQ(Second.Status, 409);
  EXPECT_EQ(Second.Revision, 2U);
  EXPECT_EQ(State.erase("k", 1).Status, 409);
  EXPECT_EQ(State.erase("k", 2).Revision, 3U);
}

} // namespace
} // namespace magnolia::standin
