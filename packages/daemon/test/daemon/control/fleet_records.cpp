#include "daemon/control/fleet_records.h"

#include "settings/record/format_record.h"
#include "settings/record/routing_json.h"
#include "settings/record/routing_text.h"

#include <chrono>
#include <gtest/gtest.h>
#include <string>

namespace magnolia::daemon {
namespace {

struct BadValue {
  const char *Guards;
  const char *Key;
  const char *Value;
};

class BadValues : public testing::TestWithParam<BadValue> {};

TEST_P(BadValues, LeaveTheLastGoodRecordInEffect) {
  const BadValue &Case = GetParam();
  SCOPED_TRACE(Case.Guards);
  FleetRecords Records;
  Records.Services["catalogue"] = {.Service = "catalogue", .RetryRatio = 0.2};
  Records.Zones["z1"].Record = {.Zone = "z1", .Out = true, .Revision = 3};
  Records.Rollouts["catalogue"] = {.Service = "catalogue", .Id = "m"};
  policy::Error LastError;
  EXPECT_FALSE(applyEntry(Records,
                          {.Key = Case.Key, .Revision = 9, .Value = Case.Value},
                          policy::TimePoint(), LastError));
  EXPECT_FALSE(LastError.Detail.empty());
  EXPECT_EQ(Records.Malformed, 1U);
  EXPECT_DOUBLE_EQ(Records.Services.at("catalogue").RetryRatio, 0.2);
  EXPECT_TRUE(Records.Zones.at("z1").Record.Out);
  EXPECT_EQ(Records.Rollouts.at("catalogue").Id, "m");
}

INSTANTIATE_TEST_SUITE_P(
    FleetRecords, BadValues,
    testing::Values(
        BadValue{"a value that is not JSON", "services/catalogue", "{"},
        BadValue{"a value under the key of another service",
                 "services/catalogue",
                 R"({"service":"stock","operation_id":"a","routes":[],)"
                 R"("retry_ratio":0.1,"probe_ratio":0.01,"probe_floor":5})"},
        BadValue{"a zone record of the wrong type", "zones/z1", "[]"},
        BadValue{"a rollout without its required fields", "moves/catalogue",
                 "{}"}));

// Guards against a deleted service that stays in effect.
TEST(FleetRecords, TombstoneRemovesTheService) {
  FleetRecords Records;
  Records.Services["catalogue"] = {.Service = "catalogue"};
  policy::Error LastError;
  EXPECT_TRUE(applyEntry(
      Records, {.Key = "services/catalogue", .Revision = 9, .Tombstone = true},
      policy::TimePoint(), LastError));
  EXPECT_TRUE(Records.Services.empty());
}

// Guards against a node without routes, or with those of an unreadable version,
// because of one wrong value, and against a table that is compared with a value
// that was rejected.
TEST(FleetRecords, RejectedRoutingTableLeavesTheLastGoodOne) {
  const auto ValueOf = [](const char *Version, const char *Lines) {
    return std::string("{\"version\":") + Version + "}\n" + Lines;
  };
  FleetRecords Records;
  const auto Apply = [&](std::string Value, bool Tombstone = false) {
    policy::Error LastError;
    const bool Applied = applyEntry(Records,
                                    {.Key = "routing/table",
                                     .Revision = 1,
                                     .Value = std::move(Value),
                                     .Tombstone = Tombstone},
                                    policy::TimePoint(), LastError);
    EXPECT_EQ(Applied,
              LastError.Detail.find("routing table") == std::string::npos)
        << LastError.Detail;
    return Applied;
  };
  EXPECT_TRUE(Apply(ValueOf("1", "[\"h\",\"/a\",\"r\",\"s\"]\n"
                                 "[\"h\",\"/b\",\"r\",\"s\"]")));
  EXPECT_EQ(Records.RoutesChanged, 2U);
  EXPECT_FALSE(Apply(ValueOf("2", "[\"h\",\"/a\",\"r\",\"s\"]\n"
                                  "[\"h\",\"/b\",\"r\",")));
  EXPECT_FALSE(Apply("", true));
  EXPECT_EQ(Records.Malformed, 2U);
  ASSERT_TRUE(Records.Routing);
  EXPECT_EQ(Records.Routing->Version, 1U);
  EXPECT_TRUE(findRoute(*Records.Routing, "h", "/b/c"));
  EXPECT_TRUE(Apply(ValueOf("3", "[\"h\",\"/a\",\"r\",\"s\"]\n"
                                 "[\"h\",\"/b\",\"r\",\"s\",true]")));
  EXPECT_EQ(Records.RoutesChanged, 1U);
  EXPECT_EQ(Records.Routing->Version, 3U);
  EXPECT_TRUE(findRoute(*Records.Routing, "h", "/b/c")->Idempotent);
}

// Guards against a node that takes no table from a node of the previous build
// during an upgrade.
TEST(FleetRecords, DocumentAndLinesFollowEachOther) {
  FleetRecords Records;
  policy::Error LastError;
  const char *const Values[] = {
      R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",)"
      R"("targets":[{"service":"s","weight":1.0}],"idempotent":false}]})",
      "{\"version\":2}\n[\"h\",\"/\",\"r\",\"s\"]",
      R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/",)"
      R"("targets":[{"service":"s","weight":1.0}],"idempotent":false}]})"};
  const settings::HostRoute *First = nullptr;
  for (std::uint64_t Version = 1; Version <= std::size(Values); ++Version) {
    ASSERT_TRUE(applyEntry(
        Records, {.Key = "routing/table", .Value = Values[Version - 1]},
        policy::TimePoint(), LastError))
        << LastError.Detail;
    EXPECT_EQ(Records.Routing->Version, Version);
    const settings::HostRoute *Found = findRoute(*Records.Routing, "h", "/a");
    ASSERT_TRUE(Found);
    EXPECT_TRUE(Version == 1 || Found == First);
    First = Found;
  }
}

// First revision of the epoch that follows a restoration from a copy.
constexpr std::uint64_t NextEpoch = std::uint64_t{1} << 40;

// Guards against a manifest that goes back to the one in the copy from which
// the store was restored.
TEST(FleetRecords, OlderManifestDoesNotComeIntoEffect) {
  FleetRecords Records;
  policy::Error LastError;
  const auto Apply = [&](std::uint64_t Version, std::uint64_t Revision) {
    return applyEntry(Records,
                      {.Key = "routing/table",
                       .Revision = Revision,
                       .Value = settings::formatRouting({.Version = Version})},
                      policy::TimePoint(), LastError);
  };
  EXPECT_TRUE(Apply(7, 40));
  EXPECT_FALSE(Apply(5, NextEpoch + 30));
  EXPECT_EQ(LastError.Detail,
            "version 5 is older than version 7, which stays in effect");
  EXPECT_EQ(Records.Routing->Version, 7U);
  EXPECT_TRUE(Apply(8, NextEpoch + 31));
  EXPECT_EQ(Records.Routing->Version, 8U);
}

policy::ConfigEntry rolloutEntry(policy::RolloutPhase Phase,
                                 std::uint64_t Revision) {
  return {.Key = "moves/s",
          .Revision = Revision,
          .Value = settings::formatRollout(
              {.Rollout = {.Service = "s",
                           .FromVersion = "v1",
                           .ToVersion = "v2",
                           .Id = "order-30",
                           .Start = policy::TimePoint(std::chrono::hours(1)),
                           .Deadline = policy::TimePoint(std::chrono::hours(2)),
                           .Phase = Phase,
                           .Step = 1,
                           .Share = 0.05},
               .OperationId = "o",
               .Driver = "d"})};
}

// Guards against a completed rollout that runs again, and a request that is
// pending again, because the store was restored from an earlier copy.
TEST(FleetRecords, RolloutDoesNotGoBackToTheCopy) {
  FleetRecords Records;
  policy::Error LastError;
  const auto Apply = [&](const policy::ConfigEntry &Entry) {
    EXPECT_TRUE(applyEntry(Records, Entry, policy::TimePoint(), LastError))
        << LastError.Detail;
  };
  Apply(rolloutEntry(policy::RolloutPhase::Done, 40));
  Apply(rolloutEntry(policy::RolloutPhase::Shifting, NextEpoch + 35));
  EXPECT_EQ(Records.Rollouts.at("s").Phase, policy::RolloutPhase::Done);
  Apply({.Key = "orders/s",
         .Revision = NextEpoch + 50,
         .Value = settings::formatRolloutRequest(
             {.Service = "s", .ToVersion = "v2", .DurationMs = 3'600'000})});
  EXPECT_EQ(pendingRolloutRequest(Records, "s"), nullptr);
}

} // namespace
} // namespace magnolia::daemon
