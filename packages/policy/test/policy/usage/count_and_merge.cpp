#include "policy/usage/count_runs.h"
#include "policy/usage/merge.h"
#include "policy/usage/true_time.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const UsageOptions Times;
// Window 100 begins at this moment of true time.
const TimePoint WindowStart = endOf(99, Times.Window);
const TimePoint Boot{std::chrono::hours(7)};

// A sidecar that knows the true time, and the collector of its counts.
struct Counting : testing::Test {
  Counting() { setTrueTime(Runs, WindowStart, Boot, Times); }

  // Sends the counts. The answer may be lost.
  void deliver(Duration After, bool Answer = true, Incarnation Run = 1) {
    UsageMessage Message = messageFor(Runs, 9, Boot + After, Times);
    Message.Node = 1;
    Message.Run = Run;
    addMessage(Totals, Message, Boot + After);
    if (Answer) {
      onCollected(Runs, 9, 5, Message.Closed);
    }
  }

  RunCounts Runs;
  UsageTotals Totals;
};

TEST_F(Counting, CountsAreCumulative) {
  countRun(Runs, "a", Boot + seconds(1), Times);
  deliver(seconds(1));
  countRun(Runs, "a", Boot + seconds(2), Times);
  countRun(Runs, "b", Boot + seconds(2), Times);
  deliver(seconds(2), false);
  deliver(seconds(3));
  EXPECT_EQ(countsOf(Totals, 100), (OrganisationCounts{{"a", 2}, {"b", 1}}));
  countRun(Runs, "a", Boot + seconds(6), Times);
  deliver(seconds(7));
  deliver(seconds(11));
  EXPECT_EQ(countsOf(Totals, 100), (OrganisationCounts{{"a", 2}, {"b", 1}}));
  EXPECT_EQ(countsOf(Totals, 101), (OrganisationCounts{{"a", 1}}));
}

// Guards against counts that are added twice when answers are lost.
TEST_F(Counting, ALostAnswerAddsNothingTwice) {
  countRun(Runs, "a", Boot + seconds(1), Times);
  for (int Second = 2; Second < 20; ++Second) {
    deliver(seconds(Second), Second % 3 == 0);
  }
  EXPECT_EQ(countsOf(Totals, 100), (OrganisationCounts{{"a", 1}}));
}

// Guards against a message that arrives after a later one and takes its counts
// back.
TEST_F(Counting, AnOlderMessageChangesNothing) {
  countRun(Runs, "a", Boot, Times);
  UsageMessage Older = messageFor(Runs, 9, Boot, Times);
  countRun(Runs, "a", Boot, Times);
  const UsageMessage Newer = messageFor(Runs, 9, Boot, Times);
  addMessage(Totals, Newer, Boot);
  addMessage(Totals, Older, Boot);
  EXPECT_EQ(countsOf(Totals, 100), (OrganisationCounts{{"a", 2}}));
}

// Guards against a run that is reported although the backend server refused it
// before the node knew the true time.
TEST(Uncounting, RefusedRunBeforeTheTrueTimeIsNotReported) {
  RunCounts Runs;
  countRun(Runs, "a", Boot, Times);
  const auto Refused = countRun(Runs, "a", Boot, Times);
  EXPECT_FALSE(Refused);
  uncountRun(Runs, "a", Refused);
  setTrueTime(Runs, WindowStart, Boot, Times);
  EXPECT_EQ(Runs.Windows.at(100), (OrganisationCounts{{"a", 1}}));
  // The run has moved to a window, which keeps it.
  uncountRun(Runs, "a", Refused);
  EXPECT_EQ(Runs.Windows.at(100), (OrganisationCounts{{"a", 1}}));
}

// Guards against the loss of what a node counted before it was killed, and
// against a new incarnation that replaces it.
TEST_F(Counting, ARestartedNodeAddsToItsFormerCounts) {
  countRun(Runs, "a", Boot, Times);
  deliver(seconds(1));
  Runs = {};
  setTrueTime(Runs, WindowStart + seconds(2), Boot + seconds(2), Times);
  countRun(Runs, "a", Boot + seconds(2), Times);
  deliver(seconds(3), true, 2);
  deliver(seconds(9), true, 2);
  EXPECT_EQ(countsOf(Totals, 100), (OrganisationCounts{{"a", 2}}));
}

// Guards against counts that are added again when a running node gets a higher
// incarnation.
TEST_F(Counting, ANewIncarnationOfARunningNodeAddsNothingTwice) {
  countRun(Runs, "a", Boot, Times);
  deliver(seconds(1));
  onNewIncarnation(Runs);
  countRun(Runs, "a", Boot + seconds(2), Times);
  deliver(seconds(3), true, 2);
  EXPECT_EQ(countsOf(Totals, 100), (OrganisationCounts{{"a", 2}}));
}

// Guards against a collector that was restarted and never gets the windows that
// its former incarnation had.
TEST_F(Counting, ARestartedCollectorGetsAllKeptWindows) {
  countRun(Runs, "a", Boot, Times);
  deliver(seconds(6));
  Totals = {};
  const UsageMessage Gap = messageFor(Runs, 9, Boot + seconds(7), Times);
  EXPECT_TRUE(Gap.Windows.empty());
  onCollected(Runs, 9, 6, Gap.Closed);
  deliver(seconds(8));
  EXPECT_EQ(countsOf(Totals, 100), (OrganisationCounts{{"a", 1}}));
}

// Guards against a window whose counts change after the node closed it because
// the true time was corrected.
TEST_F(Counting, AClosedWindowStaysClosed) {
  deliver(seconds(6));
  setTrueTime(Runs, WindowStart + seconds(4), Boot + seconds(6), Times);
  EXPECT_EQ(countRun(Runs, "a", Boot + seconds(6), Times), 101U);
}

// Guards against runs before the first true time in the window of a wrong
// clock.
TEST_F(Counting, RunsBeforeTheFirstTrueTimeAreHeld) {
  Runs = {};
  EXPECT_EQ(countRun(Runs, "a", Boot, Times), std::nullopt);
  setTrueTime(Runs, WindowStart + seconds(1), Boot + seconds(1), Times);
  deliver(seconds(1));
  EXPECT_EQ(countsOf(Totals, 100), (OrganisationCounts{{"a", 1}}));
}

TEST_F(Counting, ARefusedRunDoesNotCount) {
  const auto Window = countRun(Runs, "a", Boot, Times);
  countRun(Runs, "", Boot, Times);
  uncountRun(Runs, "a", Window);
  deliver(seconds(6));
  EXPECT_TRUE(countsOf(Totals, 100).empty());
}

// Guards against tables without a bound when no collector can be reached.
TEST_F(Counting, KeepsABoundedNumberOfWindows) {
  for (int Window = 0; Window < 100; ++Window) {
    countRun(Runs, "a", Boot + Window * Times.Window, Times);
  }
  EXPECT_EQ(Runs.Windows.size(), MaxKeptWindows);
  EXPECT_EQ(Runs.Dropped, 100 - MaxKeptWindows);
}

// Guards against a report before all counts have arrived, and against one that
// waits for a node that is gone.
TEST_F(Counting, AWindowIsFinalWhenAllHaveClosedIt) {
  const std::array<NodeId, 1> Reporting = {1};
  const TimePoint End = endOf(100, Times.Window);
  deliver(seconds(4));
  EXPECT_FALSE(isFinal(Totals, 100, Reporting, End, Times));
  EXPECT_TRUE(isFinal(Totals, 100, Reporting, End + countWait(Times), Times));
  deliver(seconds(6));
  EXPECT_TRUE(isFinal(Totals, 100, Reporting, End, Times));
  EXPECT_FALSE(isFinal(Totals, 100, Reporting, End - milliseconds(1), Times));
}

// Guards against windows that follow a minority of wrong clocks.
TEST(TrueTime, IsTheMedianOfTheClocks) {
  ClockSamples Clocks;
  const std::array<Duration, 5> Errors = {seconds(-3600), milliseconds(2),
                                          milliseconds(0), milliseconds(1),
                                          seconds(3600)};
  for (std::size_t Node = 0; Node < Errors.size(); ++Node) {
    addClock(Clocks, Node + 1, WindowStart + Errors[Node], Boot);
  }
  EXPECT_EQ(trueTime(Clocks, Errors.size(), Boot + seconds(1), Times),
            WindowStart + seconds(1) + milliseconds(1));
  EXPECT_FALSE(trueTime(Clocks, 2 * Errors.size() + 1, Boot, Times));
  EXPECT_FALSE(trueTime(Clocks, 1, Boot + seconds(60), Times));
}

// Guards against a fleet with long windows that never knows the true time,
// because the samples of most members are outdated before the next ones arrive.
TEST(TrueTime, SamplesOutlastTwoLostMessages) {
  const UsageOptions Long{.Window = seconds(300)};
  const Duration Third = 3 * sendInterval(Long);
  ClockSamples Clocks;
  addClock(Clocks, 1, WindowStart, Boot);
  EXPECT_EQ(trueTime(Clocks, 2, Boot + Third + seconds(1), Long),
            WindowStart + Third + seconds(1));
  EXPECT_FALSE(trueTime(Clocks, 2, Boot + 2 * Third, Long));
}

} // namespace
} // namespace magnolia::policy
