#include "policy/linger/plan_linger.h"

#include <gtest/gtest.h>

#include <chrono>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

const TimePoint Began{std::chrono::hours(1)};

constexpr LingerLimits Limits{.DropBytes = 1'000,
                              .Quiet = milliseconds(500),
                              .Longest = milliseconds(5'000)};

struct CloseRow {
  const char *GuardsAgainst;
  LingerState State;
  milliseconds After;
  bool Closes;
};

TEST(PlanLinger, FaultCases) {
  const CloseRow Rows[] = {
      {"output that is cut on its way",
       {.Began = Began, .LastOutput = Began},
       milliseconds(4'999),
       false},
      {"a remote side that never reads and holds the connection",
       {.Began = Began, .LastOutput = Began},
       milliseconds(5'000),
       true},
      {"a reset before the remote side has read what arrived",
       {.Began = Began, .LastOutput = Began, .Delivered = true},
       milliseconds(499),
       false},
      {"a remote side that does not close and holds the connection",
       {.Began = Began, .LastOutput = Began, .Delivered = true},
       milliseconds(500),
       true},
      {"a stop that waits for connections that have long been idle",
       {.Began = Began,
        .LastOutput = Began - std::chrono::seconds(2),
        .Delivered = true},
       milliseconds(0),
       true},
      {"a connection that never had output and is waited for",
       {.Began = Began, .LastOutput = TimePoint::min(), .Delivered = true},
       milliseconds(0),
       true},
      {"waiting for a remote side that is gone",
       {.Began = Began, .LastOutput = Began, .Ended = true},
       milliseconds(0),
       true},
      {"a remote side that sends without end",
       {.Began = Began, .LastOutput = Began, .Dropped = 1'000},
       milliseconds(1),
       true}};
  for (const CloseRow &Row : Rows) {
    EXPECT_EQ(mayClose(Row.State, Limits, Began + Row.After), Row.Closes)
        << Row.GuardsAgainst;
  }
}

// Guards against a connection that nothing wakes to close it, and against a
// loop without a pause.
TEST(PlanLinger, TheNextCheckIsAhead) {
  for (const bool Delivered : {false, true}) {
    const LingerState State{
        .Began = Began, .LastOutput = Began, .Delivered = Delivered};
    for (TimePoint Now = Began; !mayClose(State, Limits, Now);) {
      const TimePoint Next = nextLingerCheck(State, Limits, Now);
      ASSERT_GT(Next, Now);
      ASSERT_LE(Next, Began + Limits.Longest);
      Now = Next;
    }
  }
}

// Guards against a limit of zero bytes that closes every connection at once.
TEST(PlanLinger, NothingIsDroppedWithoutALimit) {
  const LingerState State{.Began = Began, .LastOutput = Began};
  EXPECT_FALSE(mayClose(State, {}, Began));
}

} // namespace
} // namespace magnolia::policy
