#include "policy/overload/late_request.h"

#include <gtest/gtest.h>

#include <chrono>

namespace magnolia::policy {
namespace {

using namespace std::chrono_literals;

struct LateRow {
  const char *Guards;
  Duration TimeLeft;
  Duration Objective;
  bool Idempotent;
  // Times until other processes know of the stop and until its end.
  Duration UntilAnnounced;
  Duration UntilEnd;
  std::optional<Duration> Expected;
};

// Guards against requests that a stopping node takes and cuts while a backend
// server works on them.
TEST(LateRequest, RunsOnlyIfItEndsBeforeTheStop) {
  const LateRow Rows[] = {
      {"a request that could end in time and is rejected", 1s, 300ms, false,
       -1s, 2s, 1s},
      {"the same for a request that ends with the stop", 2s, 300ms, false, -1s,
       2s, 2s},
      {"a request cut at the end of the stop although its route is slow", 3s,
       1200ms, true, 1s, 2s, std::nullopt},
      {"callers with a long deadline that are rejected before they can know of "
       "the stop",
       5s, 800ms, true, 2s, 4s, 4s},
      {"a request that outlives the node because its own deadline is later", 4s,
       600ms, true, 500ms, 1200ms, 1200ms},
      {"a request cut because it takes longer than its objective, although its "
       "caller could know of the stop",
       3s, 500ms, true, -1ms, 1500ms, std::nullopt},
      {"the same for a request with a very short objective", 3s, 1ms, true,
       -1ms, 2999ms, std::nullopt},
      {"a request that must not be repeated and whose outcome stays unknown",
       3s, 500ms, false, 2s, 2500ms, std::nullopt},
      {"a request without a known latency that is cut", 4s, 0s, true, 1s, 2s,
       std::nullopt},
      {"a request accepted after the end", 1s, 100ms, true, -3s, -1ms,
       std::nullopt}};
  const TimePoint Now{100s};
  for (const LateRow &Row : Rows) {
    const auto Got = deadlineBeforeStop(
        {.Deadline = Now + Row.TimeLeft,
         .Objective = Row.Objective,
         .Idempotent = Row.Idempotent},
        {.Announced = Now + Row.UntilAnnounced, .End = Now + Row.UntilEnd},
        Now);
    EXPECT_EQ(Got.has_value(), Row.Expected.has_value()) << Row.Guards;
    if (Got && Row.Expected) {
      EXPECT_EQ(*Got - Now, *Row.Expected) << Row.Guards;
    }
  }
}

// Guards against a stop that cuts requests before the last sixth of a short
// grace time.
TEST(LateRequest, LeavesAtMostASixthOfTheGraceTimeForTheExit) {
  EXPECT_EQ(timeForRequests(6s), 5s);
  EXPECT_EQ(timeForRequests(10s), 9s);
  EXPECT_EQ(timeForRequests(3s), 2500ms);
}

} // namespace
} // namespace magnolia::policy
