#include "settings/service/load_service_files.h"
#include "settings/service/parse_service_file.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace magnolia::settings {
namespace {

constexpr const char *Path = "shop/catalogue.service.ini";
const std::string Head = "[service]\nname = catalogue\n";

TEST(ServiceFile, ReadsEverySection) {
  policy::Error Error;
  const auto File = parseServiceFile(Head + R"(version = v1
; Holds must not run twice.
[route /holds]
idempotent = false
timeout_ms = 800
[route /bulbs]
methods = GET, HEAD PUT
[limits]
retry_ratio = 0.2
probe_ratio = 0.03
probe_floor = 7
hedge_percent = 4
[move]
from = v1
to = v2
deadline = +30m
)",
                                     Path, Error);
  ASSERT_TRUE(File) << Error.Detail;
  const ServiceRecord Expected{
      .Service = "catalogue",
      .OperationId = {},
      .Version = "v1",
      .Routes = {{"/holds", {}, false, 800},
                 {"/bulbs", {"GET", "HEAD", "PUT"}, {}, 0}},
      .RetryRatio = 0.2,
      .ProbeRatio = 0.03,
      .ProbeFloor = 7,
      .HedgePercent = 4};
  EXPECT_EQ(File->Service, Expected);
  EXPECT_EQ(File->Rollout,
            (RolloutPlan{"v1", "v2", {true, std::chrono::minutes(30)}}));
}

struct FileRow {
  const char *GuardsAgainst;
  std::string Text;
  // What the message must name besides the file.
  std::vector<std::string> Named;
};

TEST(ServiceFile, MessageNamesPlaceAndRange) {
  const std::string Long(200, 'x');
  const FileRow Rows[] = {
      {"a file for no service",
       "[limits]\nretry_ratio = 0\n",
       {"[service]", "name"}},
      {"a service under another's file name",
       "[service]\nname = other\n",
       {"[service]", "name", "other.service.ini"}},
      {"a version that no backend server can have",
       Head + "version = v 1\n",
       {"[service]", "version", "letters"}},
      {"a setting ignored because of a typo",
       Head + "[limits]\nretries = 1\n",
       {"[limits]", "retries", "retry_ratio"}},
      {"a section ignored because of a typo",
       Head + "[limit]\nretry_ratio=1\n",
       {"[limit]", "[limits]"}},
      {"retries without a bound",
       Head + "[limits]\nretry_ratio = 2\n",
       {"[limits]", "retry_ratio", "0 to 1"}},
      {"a number followed by text",
       Head + "[limits]\nprobe_floor = 5/s\n",
       {"[limits]", "probe_floor", "0 to 1000"}},
      {"hedges without a bound",
       Head + "[limits]\nhedge_percent = 21\n",
       {"[limits]", "hedge_percent", "0 to 20 percent"}},
      {"a negative number of hedges",
       Head + "[limits]\nhedge_percent = -1\n",
       {"[limits]", "hedge_percent", "0 to 20 percent"}},
      {"a ratio that compares false with every bound",
       Head + "[limits]\nprobe_ratio = nan\n",
       {"probe_ratio", "0 to 1"}},
      {"a timeout in another unit",
       Head + "[route /a]\ntimeout_ms = 2s\n",
       {"[route /a]", "timeout_ms", "1 to 600000"}},
      {"a route that matches nothing",
       Head + "[route a]\nidempotent = true\n",
       {"[route a]", "prefix", "'/'"}},
      {"a flag read as false",
       Head + "[route /a]\nidempotent = yes\n",
       {"[route /a]", "idempotent", "true or false"}},
      {"two conflicting rules for one route",
       Head + "[route /a]\nidempotent = true\nmethods = GET\n",
       {"[route /a]", "idempotent", "remove one"}},
      {"the second of two values winning silently",
       Head + "[limits]\nretry_ratio = 0\nretry_ratio = 1\n",
       {"[limits]", "retry_ratio", "twice"}},
      {"a rollout without a deadline",
       Head + "[move]\nfrom = v1\nto = v2\n",
       {"[move]", "deadline"}},
      {"a deadline in local time",
       Head + "[move]\nfrom = v1\nto = v2\ndeadline = 2026-12-04 18:00\n",
       {"[move]", "deadline", "+30m"}},
      {"a rollout to the same version",
       Head + "[move]\nfrom = v1\nto = v1\ndeadline = +30m\n",
       {"[move]", "to", "same version"}},
      {"a value truncated by the parser",
       Head + "[route /a]\nmethods = " + Long,
       {"line 4", "198"}},
      {"a path prefix truncated by the parser",
       Head + "[route /" + Long.substr(0, 60) + "]\nidempotent = true\n",
       {"line 3", "49"}},
      {"a line that is neither a section nor a key",
       Head + "retry_ratio\n",
       {"line 3"}},
      {"a file of unbounded size",
       std::string(MaxServiceFileSize + 1, '\n'),
       {"262144"}},
  };
  for (const FileRow &Row : Rows) {
    policy::Error Error;
    EXPECT_FALSE(parseServiceFile(Row.Text, Path, Error)) << Row.GuardsAgainst;
    EXPECT_EQ(Error.Detail.find(Path), 0U) << Error.Detail;
    for (const std::string &Part : Row.Named) {
      EXPECT_NE(Error.Detail.find(Part), std::string::npos)
          << Row.GuardsAgainst << ": " << Error.Detail;
    }
  }
}

// Guards against a deadline that is parsed as another time.
TEST(RolloutDeadline, AcceptsUtcAndOffsets) {
  policy::Error Error;
  const auto At = parseRolloutDeadline("2026-12-04T18:00:01Z", Error);
  ASSERT_TRUE(At);
  EXPECT_EQ(*At, (RolloutDeadline{false, std::chrono::seconds(1'796'407'201)}));
  const auto Offset = parseRolloutDeadline("+2h", Error);
  ASSERT_TRUE(Offset);
  const policy::TimePoint Now(std::chrono::seconds(100));
  EXPECT_EQ(deadlineAt(*Offset, Now), Now + std::chrono::hours(2));
  EXPECT_EQ(deadlineAt(*At, Now), policy::TimePoint(At->Offset));
  for (const char *Wrong :
       {"", "+", "+5", "+0m", "+-5m", "+5d", "+99999999999h", "30m",
        "2026-12-04T18:00:00", "2026-12-04T18:00:00+01:00",
        "2026-02-30T18:00:00Z", "2026-12-04T25:00:00Z"}) {
    EXPECT_FALSE(parseRolloutDeadline(Wrong, Error)) << Wrong;
  }
}

class LoadServices : public testing::Test {
protected:
  void SetUp() override {
    Root = std::filesystem::path(testing::TempDir()) /
           ("services-" +
            std::to_string(
                std::chrono::steady_clock::now().time_since_epoch().count()));
    std::filesystem::create_directories(Root);
  }
  void TearDown() override { std::filesystem::remove_all(Root); }

  void write(const std::string &Name, const std::string &Text) const {
    std::filesystem::create_directories((Root / Name).parent_path());
    std::ofstream(Root / Name) << Text;
  }

  std::filesystem::path Root;
};

TEST_F(LoadServices, FindsFilesBelowInOrder) {
  write("b/src/b.service.ini", "[service]\nname = b\n");
  write("a/a.service.ini", "[service]\nname = a\n");
  write("a/.git/c.service.ini", "broken");
  write("a/other.ini", "broken");
  const LoadedServices Loaded = loadServiceFiles({Root.string()});
  EXPECT_TRUE(Loaded.Faults.empty()) << Loaded.Faults[0];
  ASSERT_EQ(Loaded.Files.size(), 2U);
  EXPECT_EQ(Loaded.Files[0].Service.Service, "a");
  EXPECT_EQ(Loaded.Files[1].Service.Service, "b");
}

// Guards against a publication of the wrong one of two files, and against
// faults that are reported one at a time.
TEST_F(LoadServices, ReportsEveryFault) {
  write("x/a.service.ini", "[service]\nname = a\n");
  write("y/a.service.ini", "[service]\nname = a\n");
  write("z/b.service.ini", "[service]\nname = c\n");
  const LoadedServices Loaded =
      loadServiceFiles({Root.string(), (Root / "absent").string()});
  EXPECT_EQ(Loaded.Faults.size(), 3U);
  EXPECT_EQ(loadServiceFiles({(Root / "x").string()}).Faults.size(), 0U);
  std::filesystem::create_directories(Root / "empty");
  EXPECT_EQ(loadServiceFiles({(Root / "empty").string()}).Faults.size(), 1U);
}

} // namespace
} // namespace magnolia::settings
