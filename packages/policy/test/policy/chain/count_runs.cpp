#include "policy/chain/count_runs.h"

#include <gtest/gtest.h>

#include <string>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(100)};

// Guards against counts that keep the losses of an incident that is over, and
// against routes that share their counts.
TEST(CountRuns, CountsTheLastSecondOfEachRoute) {
  RouteLossWindow Window;
  for (int Ms = 0; Ms < 1000; Ms += 100) {
    countRun(Window, "lookups", Ms % 200 == 0, Start + milliseconds(Ms));
    countRun(Window, "entries", false, Start + milliseconds(Ms));
  }
  const TimePoint Now = Start + milliseconds(950);
  EXPECT_EQ(countsOf(Window, "lookups", Now),
            (RouteCounts{.Runs = 10, .Losses = 5}));
  EXPECT_EQ(countsOf(Window, "entries", Now), (RouteCounts{.Runs = 10}));
  EXPECT_EQ(countsOf(Window, "downloads", Now), RouteCounts{});
  EXPECT_EQ(countsOf(Window, "lookups", Now + milliseconds(500)),
            (RouteCounts{.Runs = 5, .Losses = 2}));
  EXPECT_EQ(countsOf(Window, "lookups", Now + milliseconds(1000)),
            RouteCounts{});
}

// Guards against a table that grows with the names that callers send, and
// against one that old routes keep full.
TEST(CountRuns, RoutesAreBounded) {
  RouteLossWindow Window;
  const auto Name = [](std::size_t Number) {
    return std::string("r").append(std::to_string(Number));
  };
  for (std::size_t I = 0; I <= RouteLossWindow::MaxRoutes; ++I) {
    countRun(Window, Name(I), true, Start);
  }
  EXPECT_EQ(Window.Routes.size(), RouteLossWindow::MaxRoutes);
  EXPECT_EQ(Window.Refused, 1U);
  const TimePoint Later = Start + std::chrono::seconds(2);
  countRun(Window, "new", true, Later);
  EXPECT_EQ(countsOf(Window, "new", Later).Losses, 1U);
  EXPECT_EQ(Window.Routes.size(), RouteLossWindow::MaxRoutes);
  countRun(Window, "", true, Later);
  EXPECT_EQ(Window.Refused, 1U);
}

struct LossRow {
  const char *Guards;
  NestedResult Ended;
  bool IsLost;
};

TEST(CountRuns, LossTable) {
  const LossRow Rows[] = {
      {"a full service that does not count",
       {.Kind = ErrorKind::Overloaded},
       true},
      {"a call that waited in vain",
       {.Kind = ErrorKind::DeadlineExceededNotRun},
       true},
      {"no server to choose", {.Kind = ErrorKind::NoBackendServer}, true},
      {"parents shed for a wrong path",
       {.Kind = ErrorKind::UnknownService},
       false},
      {"parents shed for a call that ran too long",
       {.Kind = ErrorKind::DeadlineExceededUnknown},
       false},
      {"parents shed for a caller that left",
       {.Kind = ErrorKind::Cancelled},
       false},
      {"an answered call", {.Status = 200}, false},
      {"parents shed for errors of the called server", {.Status = 500}, false},
      {"a loss further down the chain that the first parent does not see",
       {.Status = 500, .RouteLosses = 1},
       true},
  };
  for (const LossRow &Row : Rows) {
    EXPECT_EQ(isLost(Row.Ended), Row.IsLost) << Row.Guards;
  }
}

} // namespace
} // namespace magnolia::policy
