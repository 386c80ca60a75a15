#include "policy/fleet/join.h"

#include <chrono>
#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint at(Duration Offset) { return TimePoint(seconds(1000)) + Offset; }

// Guards against a burst of reads when a zone restarts: nodes that know only
// themselves must not all read from the store.
TEST(Join, WaitsForOtherMembersBeforeTheStore) {
  RandomEngine Random(1);
  JoinState State = makeJoin(at(Duration(0)), Random);
  EXPECT_FALSE(takeContactRead(State, at(milliseconds(900))));
  EXPECT_FALSE(updateWatch(State, true, at(milliseconds(900))));
  onMembers(State, 2, at(milliseconds(950)));
  EXPECT_FALSE(takeContactRead(State, at(seconds(10))));
  EXPECT_FALSE(updateWatch(State, true, at(milliseconds(1900))));
  EXPECT_TRUE(updateWatch(State, true, at(milliseconds(1950))));
}

// Guards against a first node of a fleet that never reads its configuration.
TEST(Join, WatchesAloneAfterTheWait) {
  RandomEngine Random(2);
  JoinState State = makeJoin(at(Duration(0)), Random);
  EXPECT_TRUE(takeContactRead(State, at(seconds(3))));
  EXPECT_FALSE(takeContactRead(State, at(seconds(4))));
  EXPECT_TRUE(updateWatch(State, true, at(seconds(5))));
}

// Guards against a decision that is reported twice, and against a watch that
// continues after the node lost its rank.
TEST(Join, ReportsEachChangeOfTheWatchOnce) {
  RandomEngine Random(3);
  JoinState State = makeJoin(at(Duration(0)), Random);
  EXPECT_TRUE(updateWatch(State, true, at(seconds(6))));
  EXPECT_FALSE(updateWatch(State, true, at(seconds(7))));
  EXPECT_TRUE(takeContactWrite(State, at(seconds(7))));
  EXPECT_FALSE(takeContactWrite(State, at(seconds(8))));
  EXPECT_TRUE(updateWatch(State, false, at(seconds(9))));
  EXPECT_FALSE(takeContactWrite(State, at(seconds(90))));
}

// Guards against two watchers of a zone that overwrite each other's contact.
TEST(Join, GivesTheWatchersOfAZoneDifferentSlots) {
  const std::vector<Member> Watchers = {{.Node = 5, .Zone = "a"},
                                        {.Node = 9, .Zone = "a"},
                                        {.Node = 1, .Zone = "b"}};
  EXPECT_EQ(contactSlot(Watchers[0], Watchers), 0U);
  EXPECT_EQ(contactSlot(Watchers[1], Watchers), 1U);
  EXPECT_EQ(contactSlot(Watchers[2], Watchers), 0U);
}

// Guards against watchers that call a recovering store at the same time, and
// against a delay that grows without bound.
TEST(Join, BackoffStaysWithinItsLimits) {
  RandomEngine Random(4);
  const JoinOptions Options;
  for (const int Failures : {1, 2, 3, 10, 1000}) {
    const Duration Pause = storeBackoff(Failures, Random, Options);
    EXPECT_GE(Pause, Options.FirstBackoff / 2) << Failures;
    EXPECT_LE(Pause, Options.LongestBackoff) << Failures;
  }
  EXPECT_LE(storeBackoff(1, Random, Options), Options.FirstBackoff);
  EXPECT_GE(storeBackoff(100, Random, Options), Options.LongestBackoff / 2);
}

// Guards against a watcher that reads the store again so late after an outage
// that a change, acknowledged at its end, cannot be in effect within 2 s.
TEST(Join, BackoffLeavesTimeForAChangeAfterAnOutage) {
  RandomEngine Random{1};
  for (int Failures = 1; Failures < 100; ++Failures) {
    EXPECT_LE(storeBackoff(Failures, Random), std::chrono::seconds(1));
  }
}

} // namespace
} // namespace magnolia::policy
