#include "daemon/control/fleet_records.h"

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

} // namespace
} // namespace magnolia::daemon
