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
  const char *Failure;
  std::vector<BackendReport> Before;
  BackendReport Last;
  ReportVerdict Verdict;
  // Stage that is known after the last report.
  BackendStage Stage;
};

TEST(AcceptReport, FaultTable) {
  BackendReport Elsewhere = report(5, Ready);
  Elsewhere.Port = 81;
  const Row Rows[] = {
      {"a late heartbeat takes a drain back",
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
      {"a heartbeat of a crashed lifetime replaces the new one",
       {report(1, Ready, 9, "i-2")},
       report(40, Ready, 7),
       Stale,
       Ready},
      {"a leave report of an earlier lifetime stops the new one",
       {report(1, Ready, 9, "i-2")},
       report(0, Left, 7),
       Stale,
       Ready},
      {"a restart under the same id is taken for late heartbeats",
       {report(40, Draining, 7)},
       report(1, Ready, 9),
       Accepted,
       Ready},
      {"a heartbeat from elsewhere is taken for the own server's",
       {report(1, Ready)},
       Elsewhere,
       Foreign,
       Ready},
  };
  for (const Row &Next : Rows) {
    AnnounceState State{.Address = "10.0.0.1", .Port = 80};
    for (const BackendReport &Sent : Next.Before) {
      ASSERT_EQ(acceptReport(State, Sent, Start), Accepted) << Next.Failure;
    }
    EXPECT_EQ(acceptReport(State, Next.Last, Start), Next.Verdict)
        << Next.Failure;
    ASSERT_TRUE(State.Known) << Next.Failure;
    EXPECT_EQ(State.Known->Stage, Next.Stage) << Next.Failure;
  }
}

// Guards against new work for a leaving server after the node restarted
// between the acknowledgement and a heartbeat that was under way.
TEST(AcceptReport, LeavingOutlivesTheNode) {
  AnnounceState State;
  ASSERT_TRUE(restore(State, report(4, Draining, 7)));
  EXPECT_EQ(acceptReport(State, report(3, Ready, 7), Start), Stale);
  ASSERT_EQ(acceptReport(State, report(5, Ready, 7), Start), Accepted);
  EXPECT_EQ(State.Known->Stage, Draining);
  // Another lifetime under the same id is not affected.
  ASSERT_EQ(acceptReport(State, report(1, Ready, 9), Start), Accepted);
  EXPECT_EQ(State.Known->Stage, Ready);
}

// Guards against requests for a server that is gone or another one at the
// address of the one that was known before the restart.
TEST(AcceptReport, RestoredServerIsConfirmedOnce) {
  AnnounceState State;
  EXPECT_FALSE(confirm(State, "i-1", Start));
  ASSERT_TRUE(restore(State, report(4, Ready)));
  EXPECT_TRUE(State.Restored);
  EXPECT_FALSE(confirm(State, "i-2", Start));
  EXPECT_TRUE(confirm(State, "i-1", Start));
  EXPECT_FALSE(confirm(State, "i-1", Start));
}

// Guards against an old record that replaces a report.
TEST(AcceptReport, ReportGoesBeforeRecord) {
  AnnounceState State;
  ASSERT_EQ(acceptReport(State, report(1, Ready, 9), Start), Accepted);
  EXPECT_FALSE(restore(State, report(9, Draining, 7)));
  EXPECT_EQ(State.Known->Stage, Ready);
}

} // namespace
} // namespace magnolia::policy
