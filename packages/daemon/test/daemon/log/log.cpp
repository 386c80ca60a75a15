#include "daemon/log/log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace magnolia::daemon {
namespace {

// Guards against lines that no JSON reader accepts, whatever is logged.
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

} // namespace
} // namespace magnolia::daemon
