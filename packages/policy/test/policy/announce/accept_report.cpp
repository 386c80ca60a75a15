#include "policy/announce/accept_report.h"

#include <gtest/gtest.h>

#include <vector>

namespace magnolia::policy {
namespace {

using enum BackendStage;
using enum ReportVerdict;

constexpr TimePoint Start{std::chrono::seconds(100)};

BackendReport report(std::uint64_t Sequence, BackendStage Stage,
                     Incarnation Born = 7, const char *Instance = "i-1") {
  return {.Instance = Instance,
          .Service = "stock",
          .Version = "v1",
          .Address = "10.0.0.1",
          .Port = 80,
          .Slots = 12,
          .Stage = Stage,
          .Sequence = Sequence,
          .Born = Born};
}

struct Row {
  const char *GuardsAgainst;
  std::vector<BackendReport> Before;
  BackendReport Last;
  ReportVerdict Verdict;
  // Known stage after the last report.
  BackendStage Stage;
};

TEST(AcceptReport, FaultTable) {
  BackendReport OtherAddress = report(5, Ready);
  OtherAddress.Port = 81;
  const Row Rows[] = {
      {"a late heartbeat reverts a drain",
       {report(1, Ready), report(3, Draining)},
       report(2, Ready),
       Stale,
       Draining},
      {"a heartbeat after a drain makes the server ready again",
       {report(1, Draining)},
       report(2, Ready),
       Accepted,
       Draining},
      {"a heartbeat after a leave report makes the server ready again",
       {report(1, Ready), report(0, Left)},
       report(2, Ready),
       Accepted,
       Left},
      {"a heartbeat of a crashed incarnation replaces the new one",
       {report(1, Ready, 9, "i-2")},
       report(40, Ready, 7),
       Stale,
       Ready},
      {"a leave report of an earlier incarnation stops the new one",
       {report(1, Ready, 9, "i-2")},
       report(0, Left, 7),
       Stale,
       Ready},
      {"a server is ready by a late heartbeat after it left before its first "
       "one arrived",
       {report(0, Left)},
       report(1, Ready),
       Accepted,
       Left},
      {"the same while its node knows the server that was there before",
       {report(40, Ready, 7, "i-0"), report(0, Left, 9, "i-2")},
       report(1, Ready, 9, "i-2"),
       Accepted,
       Left},
      {"the same for a restart with the same id",
       {report(40, Ready, 7), report(0, Left, 9)},
       report(1, Ready, 9),
       Accepted,
       Left},
      {"a restart with the same id is taken for late heartbeats",
       {report(40, Draining, 7)},
       report(1, Ready, 9),
       Accepted,
       Ready},
      {"a heartbeat from another address is taken for the local server's",
       {report(1, Ready)},
       OtherAddress,
       Foreign,
       Ready},
  };
  for (const Row &Next : Rows) {
    AnnounceState State{.Address = "10.0.0.1", .Port = 80};
    for (const BackendReport &Sent : Next.Before) {
      ASSERT_EQ(acceptReport(State, Sent, Start), Accepted)
          << Next.GuardsAgainst;
    }
    EXPECT_EQ(acceptReport(State, Next.Last, Start), Next.Verdict)
        << Next.GuardsAgainst;
    ASSERT_TRUE(State.Known) << Next.GuardsAgainst;
    EXPECT_EQ(State.Known->Stage, Next.Stage) << Next.GuardsAgainst;
  }
}

// Guards against new requests to a draining server after the node restarted
// between its acknowledgement of the drain and an earlier heartbeat that
// arrives late.
TEST(AcceptReport, DrainingSurvivesNodeRestart) {
  AnnounceState State;
  ASSERT_TRUE(restore(State, report(4, Draining, 7)));
  EXPECT_EQ(acceptReport(State, report(3, Ready, 7), Start), Stale);
  ASSERT_EQ(acceptReport(State, report(5, Ready, 7), Start), Accepted);
  EXPECT_EQ(State.Known->Stage, Draining);
  // Another incarnation with the same id is not affected.
  ASSERT_EQ(acceptReport(State, report(1, Ready, 9), Start), Accepted);
  EXPECT_EQ(State.Known->Stage, Ready);
}

// Guards against records that are removed while a late heartbeat could still
// arrive, and against those of servers in use.
TEST(AcceptReport, OnlyReportsOfServersThatLeftLongAgoAreObsolete) {
  BackendReport Stored = report(1, Left, 7);
  EXPECT_FALSE(isObsolete(Stored, Start));
  Stored.LeftAt = Start;
  EXPECT_FALSE(isObsolete(Stored, Start + std::chrono::minutes(10)));
  EXPECT_TRUE(isObsolete(Stored, Start + std::chrono::minutes(11)));
  Stored.Stage = Draining;
  EXPECT_FALSE(isObsolete(Stored, Start + std::chrono::hours(100)));
}

// Guards against requests to a server that is gone, or to another one at the
// address of the server known before the restart.
TEST(AcceptReport, RestoredServerIsConfirmedOnce) {
  AnnounceState State;
  EXPECT_FALSE(confirm(State, "i-1", Start));
  ASSERT_TRUE(restore(State, report(4, Ready)));
  EXPECT_TRUE(State.Restored);
  EXPECT_FALSE(confirm(State, "i-2", Start));
  EXPECT_TRUE(confirm(State, "i-1", Start));
  EXPECT_FALSE(confirm(State, "i-1", Start));
}

// Guards against a restored record that replaces a newer report.
TEST(AcceptReport, ReportTakesPrecedenceOverRecord) {
  AnnounceState State;
  ASSERT_EQ(acceptReport(State, report(1, Ready, 9), Start), Accepted);
  EXPECT_FALSE(restore(State, report(9, Draining, 7)));
  EXPECT_EQ(State.Known->Stage, Ready);
}

} // namespace
} // namespace magnolia::policy
