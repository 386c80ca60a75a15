#include "policy/usage/hold_duty.h"

#include "duty_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const UsageOptions Times;

// Windows that reached the receiver, each with the time of its first arrival
// after the end of the window.
std::map<UsageWindow, Duration> delaysOf(const test::DutyModel &Model) {
  std::map<UsageWindow, Duration> Delays;
  for (const test::Arrival &Next : Model.arrivals()) {
    Delays.try_emplace(Next.Report.Window,
                       Next.At - endOf(Next.Report.Window, Times.Window));
  }
  return Delays;
}

// Guards against reports that are late, missing or written more than once
// although nothing fails.
TEST(HoldDuty, ReportsEachWindowOnceWithoutFaults) {
  test::DutyModel Model({.Seed = 1, .Faults = false});
  Model.run();
  EXPECT_EQ(Model.broken(), "");
  EXPECT_EQ(Model.holders(), 1U);
  const auto Delays = delaysOf(Model);
  ASSERT_GE(Delays.size(), 28U);
  EXPECT_EQ(Delays.rbegin()->first - Delays.begin()->first + 1, Delays.size());
  for (const auto &[Window, Delay] : Delays) {
    EXPECT_LE(Delay, Times.Delay) << Window;
  }
  EXPECT_EQ(Model.arrivals().size(), Delays.size());
  // One write per window, and the one by which the node became the holder.
  EXPECT_LE(Model.writes(), Delays.size() + 1);
}

// Walks random interleavings of holders that are suspended, killed and cut off
// from the store, with lost and late answers. Guards against two reports of a
// window, one token of two holders, tokens that go back, and holders that
// change back within a lease. MAGNOLIA_DUTY_SEEDS sets the number of seeds.
TEST(HoldDuty, KeepsTheRulesWithRandomFaults) {
  const char *const Given = std::getenv("MAGNOLIA_DUTY_SEEDS");
  const int Seeds = Given ? std::atoi(Given) : 60;
  std::uint64_t Holders = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    test::DutyModel Model({.Seed = static_cast<std::uint64_t>(Seed)});
    Model.run();
    ASSERT_EQ(Model.broken(), "") << "seed " << Seed;
    Holders += Model.holders();
    // Once the faults are over, every window arrives in time.
    const auto Delays = delaysOf(Model);
    const UsageWindow Last =
        windowOf(Model.now() - Times.Delay, Times.Window) - 1;
    for (UsageWindow Next = Last - 4; Next <= Last; ++Next) {
      ASSERT_TRUE(Delays.contains(Next)) << "seed " << Seed;
      EXPECT_LE(Delays.at(Next), Times.Delay) << "seed " << Seed;
    }
  }
  // Without changes of the holder the walk would prove nothing.
  EXPECT_GT(Holders, static_cast<std::uint64_t>(2 * Seeds));
}

// Walks the same faults with windows of a minute, in which the holder renews
// its right to send. Guards against a renewal that breaks one of the rules.
TEST(HoldDuty, KeepsTheRulesWithRenewals) {
  constexpr int Seeds = 20;
  std::uint64_t Holders = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    test::DutyModel Model({.Seed = static_cast<std::uint64_t>(Seed),
                           .Length = seconds(600),
                           .Calm = seconds(150),
                           .Times = {.Window = seconds(60)}});
    Model.run();
    ASSERT_EQ(Model.broken(), "") << "seed " << Seed;
    Holders += Model.holders();
  }
  EXPECT_GT(Holders, static_cast<std::uint64_t>(2 * Seeds));
}

// A node that became the holder with a report of window 100 in the record.
struct Holder {
  explicit Holder(const UsageOptions &Given = Times) : Options(Given) {
    Totals.Sums[100] = {{"a", 1}};
    State.HolderHeardAt = Now - seconds(60);
    EXPECT_EQ(next()->Kind, DutyActionKind::Read);
    onDutyRead(State, SeenDuty{.Since = Now}, Now);
    Now += seconds(4);
    const auto Claim = next();
    EXPECT_EQ(Claim->Kind, DutyActionKind::Write);
    onDutyWritten(State, WriteOutcome::Written, 7, Now);
  }

  std::optional<DutyAction> next() {
    const DutyInput Input{.Now = Now,
                          .True = endOf(100, Options.Window) + milliseconds(10),
                          .Self = 1,
                          .Run = 1,
                          .Name = "one",
                          .Rank = 0,
                          .HolderLive = true,
                          .Totals = Totals};
    return nextDutyAction(State, Input, Options);
  }

  const UsageOptions Options;
  TimePoint Now{std::chrono::hours(1)};
  UsageTotals Totals;
  DutyState State;
};

// Guards against a second holder with the token of the first: the token is the
// revision of the write by which a node became the holder.
TEST(HoldDuty, TakesItsTokenFromTheRevision) {
  Holder Node;
  const auto Send = Node.next();
  ASSERT_TRUE(Send);
  EXPECT_EQ(Send->Kind, DutyActionKind::Send);
  EXPECT_EQ(Send->Token, 7U);
  EXPECT_EQ(Send->Report, (WindowCounts{.Window = 100, .Counts = {{"a", 1}}}));
}

// Guards against a holder that was suspended and sends after it was replaced.
TEST(HoldDuty, SendsNothingAfterItsLease) {
  Holder Node;
  Node.Now += Times.Lease;
  EXPECT_FALSE(Node.next());
}

// Guards against a report that waits for the end of the next window, which may
// be minutes away, after the receiver was down for a few seconds; and against
// a holder that nobody can replace, because its record never stays the same for
// longer than a lease.
TEST(HoldDuty, RenewsItsRightToSendWhileAReportIsPending) {
  Holder Node({.Window = seconds(60)});
  std::vector<TimePoint> Sends;
  std::vector<TimePoint> Writes;
  const auto Pass = [&](SendOutcome Answer) {
    for (int Step = 0; Step < 300; ++Step, Node.Now += milliseconds(100)) {
      while (const auto Action = Node.next()) {
        if (Action->Kind == DutyActionKind::Send) {
          EXPECT_EQ(Action->Report.Window, 100U);
          EXPECT_EQ(Action->Token, 7U);
          Sends.push_back(Node.Now);
          onDutySent(Node.State, 100, Answer, false, Node.Now);
        } else {
          ASSERT_EQ(Action->Kind, DutyActionKind::Write);
          Writes.push_back(Node.Now);
          onDutyWritten(Node.State, WriteOutcome::Written, 100 + Writes.size(),
                        Node.Now);
        }
      }
    }
  };
  Pass(SendOutcome::Retry);
  ASSERT_GE(Sends.size(), 2U);
  EXPECT_GE(Sends.back(), Node.Now - 2 * Times.Lease);
  for (std::size_t I = 1; I < Sends.size(); ++I) {
    EXPECT_LE(Sends[I] - Sends[I - 1], 2 * Times.Lease);
  }
  ASSERT_GE(Writes.size(), 2U);
  for (std::size_t I = 1; I < Writes.size(); ++I) {
    EXPECT_GE(Writes[I] - Writes[I - 1], 2 * Times.Lease);
  }
  const std::size_t Before = Writes.size();
  Pass(SendOutcome::Accepted);
  EXPECT_EQ(Node.State.Counts.Sent, 1U);
  EXPECT_LE(Writes.size(), Before + 1);
}

// Guards against a report that is sent although its record is not known to be
// in the store, and against a write that is taken for lost although it took
// effect.
TEST(HoldDuty, ReadsBackAWriteWithALostAnswer) {
  Holder Node;
  (void)Node.next();
  onDutySent(Node.State, 100, SendOutcome::Accepted, false, Node.Now);
  Node.Totals.Sums[101] = {{"a", 2}};
  Node.State.Held.Recorded = 99;
  Node.Now += seconds(1);
  const auto Write = Node.next();
  ASSERT_TRUE(Write);
  ASSERT_EQ(Write->Kind, DutyActionKind::Write);
  EXPECT_EQ(Write->Expected, 7U);
  onDutyWritten(Node.State, WriteOutcome::Unknown, 0, Node.Now);
  EXPECT_FALSE(Node.next());
  Node.Now += seconds(1);
  ASSERT_EQ(Node.next()->Kind, DutyActionKind::Read);
  onDutyRead(
      Node.State,
      SeenDuty{.Record = Write->Record, .Revision = 9, .Since = Node.Now},
      Node.Now);
  EXPECT_TRUE(Node.State.Holding);
  EXPECT_EQ(Node.State.HeldRevision, 9U);
  EXPECT_EQ(Node.State.Held.Token, 7U);
}

// Guards against a holder that goes on after it heard of a later one.
TEST(HoldDuty, GivesWayToAHigherToken) {
  Holder Node;
  onDutyFacts(Node.State, {.Holder = 2, .Token = 8, .Recorded = 100}, 2, true,
              Node.Now);
  EXPECT_FALSE(Node.next());
  EXPECT_FALSE(Node.State.Holding);
  EXPECT_EQ(Node.State.Counts.Lost, 1U);
}

// Guards against a node that replaces a holder which writes.
TEST(HoldDuty, LeavesALiveHolderAlone) {
  DutyState State;
  UsageTotals Totals;
  TimePoint Now{std::chrono::hours(1)};
  for (int Second = 0; Second < 30; ++Second, Now += seconds(1)) {
    const TimePoint True = endOf(100, Times.Window) + seconds(Second);
    onDutyFacts(
        State,
        {.Holder = 2, .Token = 8, .Recorded = windowOf(True, Times.Window) - 1},
        2, true, Now);
    const DutyInput Input{.Now = Now,
                          .True = True,
                          .Self = 1,
                          .Run = 1,
                          .Name = "one",
                          .Rank = 0,
                          .HolderLive = true,
                          .Totals = Totals};
    EXPECT_FALSE(nextDutyAction(State, Input, Times));
  }
}

} // namespace
} // namespace magnolia::policy
