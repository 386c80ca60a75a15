#include "daemon/log/log.h"

#include "daemon/log/log_rate_limit.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <string>

namespace magnolia::daemon {
namespace {

// Guards against lines that are not valid JSON, whatever is logged.
TEST(Log, EveryLineIsOneJsonObject) {
  const std::string Line =
      logLine("2026-01-01T00:00:00.000Z", LogLevel::Warning, "a \"b\"\n",
              {{"bytes", std::string_view("\xFF\x00\n", 3)},
               {"number", std::uint64_t{18'446'744'073'709'551'615U}},
               {"yes", true}});
  EXPECT_EQ(Line.find('\n'), std::string::npos);
  const auto Json = nlohmann::json::parse(Line);
  EXPECT_EQ(Json["level"], "warning");
  EXPECT_EQ(Json["event"], "a \"b\"\n");
  EXPECT_EQ(Json["number"], 18'446'744'073'709'551'615U);
  EXPECT_EQ(Json["yes"], true);
}

// Guards against a burst of one event that fills the log or hides another
// event, and against omitted lines that are not counted.
TEST(LogRateLimit, LimitsEachEventAndCountsOmittedLines) {
  constexpr policy::TimePoint Start{std::chrono::hours(1)};
  LogRateLimit RateLimit{.Burst = 3, .PerSecond = 2};
  std::uint64_t Dropped = 0;
  int Written = 0;
  for (int I = 0; I < 100; ++I) {
    Written += admitLine(RateLimit, "request rejected", Start, Dropped) ? 1 : 0;
  }
  EXPECT_EQ(Written, 3);
  EXPECT_EQ(Dropped, 0U);
  EXPECT_TRUE(admitLine(RateLimit, "store lost", Start, Dropped));
  const policy::TimePoint Later = Start + std::chrono::milliseconds(500);
  EXPECT_TRUE(admitLine(RateLimit, "request rejected", Later, Dropped));
  EXPECT_EQ(Dropped, 97U);
  EXPECT_FALSE(admitLine(RateLimit, "request rejected", Later, Dropped));
}

// Guards against a process that blocks because the reader of its log has
// stopped reading, and against dropped lines that are not counted.
TEST(Log, DoesNotBlockOnAStoppedReader) {
  std::array<int, 2> Pipe{};
  ASSERT_EQ(::pipe(Pipe.data()), 0);
  const int Original = ::dup(STDOUT_FILENO);
  ASSERT_TRUE(startLog(LogLevel::Info, {}));
  ::dup2(Pipe[1], STDOUT_FILENO);
  constexpr int Events = 2000;
  for (int I = 0; I < Events; ++I) {
    log(LogLevel::Info, "event " + std::to_string(I),
        {{"text",
          std::string_view("0123456789012345678901234567890123456789")}});
  }
  ::dup2(Original, STDOUT_FILENO);
  EXPECT_GT(lostLogLines(), 0U);
  ::close(Pipe[0]);
  ::close(Pipe[1]);
  ::close(Original);
}

} // namespace
} // namespace magnolia::daemon
