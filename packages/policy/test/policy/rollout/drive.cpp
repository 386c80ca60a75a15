#include "policy/rollout/drive.h"

#include "policy/rollout/advance.h"

#include <chrono>
#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint Start(std::chrono::hours(1000));
const Verdict Bad = {.Kind = VerdictKind::Bad, .Reason = "fails"};

RolloutRecord shifting() {
  return {.Service = "s",
          .FromVersion = "1",
          .ToVersion = "2",
          .Id = "m",
          .Start = Start,
          .Deadline = Start + minutes(10),
          .Phase = RolloutPhase::Shifting,
          .StepSince = Start,
          .Share = 0.02,
          .Revision = 7};
}

std::vector<Member> watchers() {
  return {{.Node = 1, .Zone = "a"},
          {.Node = 2, .Zone = "b"},
          {.Node = 3, .Zone = "c"}};
}

NodeId nodeOfRank(std::size_t Rank) {
  const std::vector<Member> Watchers = watchers();
  for (const Member &Candidate : Watchers) {
    if (driverRank(Candidate.Node, Watchers, "m") == Rank) {
      return Candidate.Node;
    }
  }
  return 0;
}

// Guards against a rollback of a bad version that waits for the statistics of
// other nodes although the verdict of the node's own breaker suffices.
TEST(Drive, RollsBackOnItsOwnVerdict) {
  DriveState State;
  const auto Next = nextWrite(State, shifting(), Bad, nodeOfRank(0), watchers(),
                              Start + seconds(1));
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Phase, RolloutPhase::RolledBack);
  EXPECT_EQ(Next->EndReason, "fails");
}

// Guards against two concurrent writes of one node for the same revision.
TEST(Drive, HasOneWriteAtATime) {
  DriveState State;
  const auto Write = [&State](TimePoint Now) {
    return nextWrite(State, shifting(), Bad, nodeOfRank(0), watchers(), Now)
        .has_value();
  };
  EXPECT_TRUE(Write(Start + seconds(1)));
  EXPECT_FALSE(Write(Start + seconds(2)));
  onWritten(State, false);
  EXPECT_TRUE(Write(Start + seconds(3)));
  EXPECT_EQ(State.Writes, 2U);
  EXPECT_EQ(State.FailedWrites, 1U);
}

// Guards against a rollout that stops because its driver is paused or has lost
// the store, and against all watchers writing at once.
TEST(Drive, LowerRanksTakeOverAfterADelay) {
  const RolloutOptions Options;
  for (const std::size_t Rank : {0U, 1U, 2U}) {
    DriveState State;
    const TimePoint Due = Start + seconds(1);
    const auto Write = [&](TimePoint Now) {
      return nextWrite(State, shifting(), Bad, nodeOfRank(Rank), watchers(),
                       Now)
          .has_value();
    };
    const Duration Wait = Options.TakeoverDelay * static_cast<int>(Rank);
    if (Rank > 0) {
      EXPECT_FALSE(Write(Due)) << Rank;
      EXPECT_FALSE(Write(Due + Wait - std::chrono::milliseconds(1))) << Rank;
    }
    EXPECT_TRUE(Write(Due + Wait)) << Rank;
  }
}

// Guards against a take-over immediately after another watcher's progress.
TEST(Drive, ProgressRestartsTheDelay) {
  DriveState State;
  RolloutRecord Record = shifting();
  const NodeId Second = nodeOfRank(1);
  EXPECT_FALSE(
      nextWrite(State, Record, Bad, Second, watchers(), Start + seconds(1)));
  Record.Revision = 8;
  EXPECT_FALSE(
      nextWrite(State, Record, Bad, Second, watchers(), Start + seconds(5)));
  EXPECT_TRUE(
      nextWrite(State, Record, Bad, Second, watchers(), Start + seconds(8)));
}

// Guards against response statistics that are lost with the driver because no
// other watcher has them.
TEST(Drive, TwoWatchersCollect) {
  const std::vector<Member> Collectors = collectorsOf(watchers(), "m");
  ASSERT_EQ(Collectors.size(), RolloutCollectors);
  EXPECT_NE(Collectors[0].Node, nodeOfRank(2));
  EXPECT_NE(Collectors[1].Node, nodeOfRank(2));
  EXPECT_TRUE(collectorsOf({}, "m").empty());
}

// Guards against a status that the operator never reads, because the store lost
// the last record of a rollout that has ended.
TEST(Drive, WritesALostRecordAgainAfterTheEnd) {
  DriveState State;
  RolloutRecord Ended = shifting();
  Ended.Phase = RolloutPhase::Done;
  const auto Write = [&State, &Ended](NodeId Node) {
    return nextWrite(State, Ended, {}, Node, watchers(), Start + seconds(9));
  };
  EXPECT_FALSE(Write(nodeOfRank(0)));
  Ended.Stored = false;
  EXPECT_EQ(Write(nodeOfRank(0)), Ended);
}

// Guards against a call in every tick to a store that is away again before the
// lost record is written.
TEST(Drive, PausesBetweenWritesOfALostRecord) {
  DriveState State;
  RolloutRecord Ended = shifting();
  Ended.Phase = RolloutPhase::Done;
  Ended.Stored = false;
  const auto Write = [&](Duration After) {
    return nextWrite(State, Ended, {}, nodeOfRank(0), watchers(),
                     Start + seconds(9) + After);
  };
  EXPECT_TRUE(Write(Duration::zero()));
  onWritten(State, false);
  EXPECT_FALSE(Write(std::chrono::milliseconds(450)));
  EXPECT_TRUE(Write(std::chrono::milliseconds(500)));
}

} // namespace
} // namespace magnolia::policy
