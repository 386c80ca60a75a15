#include "policy/fleet/restore.h"

#include <chrono>
#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start(seconds(100));

struct RestoreTest : testing::Test {
  RandomEngine Random{1};
  RestoreState State;
};

// Guards against a node that takes the first epoch that it hears of for a loss,
// so that the start of a fleet writes everything twice.
TEST_F(RestoreTest, FirstEpochIsNoLoss) {
  EXPECT_FALSE(onEpoch(State, 3, Start, Random));
  EXPECT_FALSE(takeReportWrite(State, Start + seconds(60)));
  EXPECT_FALSE(takeFullRead(State, Start + seconds(60)));
}

// Guards against calls of all nodes in the moment in which the store returns,
// and against calls that are made more than once.
TEST_F(RestoreTest, CallsAreSpreadAndMadeOnce) {
  EXPECT_FALSE(onEpoch(State, 3, Start, Random));
  EXPECT_TRUE(onEpoch(State, 4, Start, Random));
  EXPECT_FALSE(onEpoch(State, 4, Start + milliseconds(1), Random));
  EXPECT_LE(*State.ReportAt, Start + State.Options.Jitter);
  EXPECT_TRUE(takeReportWrite(State, Start + State.Options.Jitter));
  EXPECT_FALSE(takeReportWrite(State, Start + seconds(60)));
  RandomEngine Other{2};
  RestoreState Second;
  EXPECT_FALSE(onEpoch(Second, 3, Start, Other));
  EXPECT_TRUE(onEpoch(Second, 4, Start, Other));
  EXPECT_NE(Second.ReportAt, State.ReportAt);
}

// Guards against a failed write that is not made again, and one that is made
// again without a pause.
TEST_F(RestoreTest, FailedWriteIsRepeatedAfterAPause) {
  EXPECT_FALSE(onEpoch(State, 3, Start, Random));
  EXPECT_TRUE(onEpoch(State, 4, Start, Random));
  EXPECT_TRUE(takeReportWrite(State, Start + seconds(2)));
  repeatReportWrite(State, Start + seconds(2), Random);
  EXPECT_FALSE(takeReportWrite(State, Start + seconds(3)));
  EXPECT_TRUE(takeReportWrite(State, Start + seconds(6)));
}

// Guards against keys that lapse because a second loss follows within seconds:
// the operator begins anew to write them again.
TEST_F(RestoreTest, SecondLossBeginsTheSettlingAnew) {
  EXPECT_FALSE(onEpoch(State, 3, Start, Random));
  EXPECT_TRUE(onEpoch(State, 4, Start + seconds(60), Random));
  const TimePoint Second = Start + seconds(65);
  EXPECT_TRUE(onEpoch(State, 5, Second, Random));
  EXPECT_FALSE(hasSettled(State, 5, Second + seconds(14)));
  EXPECT_TRUE(hasSettled(State, 5, Second + seconds(15)));
  EXPECT_FALSE(takeFullRead(State, Second + seconds(14)));
  EXPECT_TRUE(takeFullRead(State, Second + seconds(17)));
}

// Guards against a read in a new epoch that counts as settled because the node
// had settled in the epoch before.
TEST_F(RestoreTest, ReadInAnotherEpochHasNotSettled) {
  EXPECT_FALSE(onEpoch(State, 3, Start, Random));
  EXPECT_TRUE(hasSettled(State, 3, Start + seconds(60)));
  EXPECT_FALSE(hasSettled(State, 4, Start + seconds(60)));
}

struct KeyRow {
  const char *GuardsAgainst;
  StoredClusterKey Held;
  bool Write;
};

TEST(ClusterKey, IsWrittenAgainIfTheStoreLostIt) {
  constexpr std::uint64_t OwnEpoch = 3;
  const KeyRow Rows[] = {
      {"a lost key, without which the next node that starts creates another",
       {.Value = {}, .Epoch = 4},
       true},
      {"a key that a node created after the loss and that cuts off all nodes "
       "that start later",
       {.Value = "other", .Epoch = 4},
       true},
      {"two nodes that replace the key of one another",
       {.Value = "other", .Epoch = 3},
       false},
      {"a write of a key that the store holds",
       {.Value = "own", .Epoch = 4},
       false},
  };
  for (const KeyRow &Row : Rows) {
    EXPECT_EQ(mustWriteClusterKey("own", OwnEpoch, Row.Held), Row.Write)
        << Row.GuardsAgainst;
  }
}

} // namespace
} // namespace magnolia::policy
