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
  // Time until the node ends.
  Duration UntilStop;
  std::optional<Duration> Expected;
};

TEST(LateRequest, RunsOnlyIfItEndsBeforeTheStop) {
  const LateRow Rows[] = {
      {"a request that could end in time and is rejected", 1s, 300ms, 2s, 1s},
      {"a request cut at the end of the stop although its route is slow", 3s,
       1200ms, 2s, std::nullopt},
      {"callers with a long deadline that are rejected from the start of the "
       "stop",
       5s, 800ms, 4s, 4s},
      {"a request that outlives the node because its own deadline is later", 4s,
       600ms, 1200ms, 1200ms},
      {"a request without a known latency that is cut", 4s, 0s, 2s,
       std::nullopt},
      {"a request accepted after the end", 1s, 100ms, -1ms, std::nullopt}};
  const TimePoint Now{100s};
  for (const LateRow &Row : Rows) {
    const auto Got = deadlineBeforeStop(
        {.Deadline = Now + Row.TimeLeft, .Objective = Row.Objective}, Now,
        Now + Row.UntilStop);
    EXPECT_EQ(Got.has_value(), Row.Expected.has_value()) << Row.Guards;
    if (Got && Row.Expected) {
      EXPECT_EQ(*Got - Now, *Row.Expected) << Row.Guards;
    }
  }
}

} // namespace
} // namespace magnolia::policy
