#include "policy/fleet/repair.h"

#include "policy/config/apply.h"

#include <chrono>
#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against one exchange per datagram, which would use up the bandwidth
// for control traffic.
TEST(Repair, IntervalDependsOnTheSizeOfTheTable) {
  RepairState State;
  ConfigTable Table;
  const TimePoint Start(seconds(10));
  EXPECT_TRUE(takeRepair(State, Table, Start));
  EXPECT_FALSE(takeRepair(State, Table, Start + milliseconds(499)));
  EXPECT_TRUE(takeRepair(State, Table, Start + milliseconds(500)));
  for (std::size_t I = 0; I < State.Options.SmallTable; ++I) {
    apply(Table, {.Key = "services/" + std::to_string(I), .Revision = I + 1});
  }
  EXPECT_TRUE(takeRepair(State, Table, Start + seconds(1)));
  EXPECT_FALSE(takeRepair(State, Table, Start + milliseconds(5999)));
  EXPECT_EQ(State.Postponed, 2U);
}

struct ReadCase {
  const char *GuardsAgainst;
  StoreRead Read;
  // Value of the key in the table after the changes; empty if it was deleted.
  const char *Expected;
};

class StoreReads : public testing::TestWithParam<ReadCase> {};

TEST_P(StoreReads, NeverRevertTheTable) {
  const ReadCase &Case = GetParam();
  SCOPED_TRACE(Case.GuardsAgainst);
  ConfigTable Table;
  apply(Table, {.Key = "services/a", .Revision = 10, .Value = "held"});
  for (const ConfigEntry &Entry : changesOf(Table, Case.Read)) {
    apply(Table, Entry);
  }
  EXPECT_EQ(Table.Entries.at("services/a").Value, Case.Expected);
}

INSTANTIATE_TEST_SUITE_P(
    Repair, StoreReads,
    testing::Values(
        ReadCase{"a deletion that no watch reported",
                 {.Entries = {}, .Revision = 12},
                 ""},
        ReadCase{"a read from before an operator pushed the key",
                 {.Entries = {}, .Revision = 9},
                 "held"},
        ReadCase{"a store that lost its data and restarted at low revisions",
                 {.Entries =
                      {{.Key = "services/a", .Revision = 2, .Value = "other"}},
                  .Revision = 3},
                 "held"},
        ReadCase{
            "a newer value",
            {.Entries = {{.Key = "services/a", .Revision = 11, .Value = "new"}},
             .Revision = 11},
            "new"}));

// Guards against the rejection of a whole read because an operator pushed one
// key in the meantime.
TEST(Repair, KeepsTheOtherKeysOfAnEarlierRead) {
  ConfigTable Table;
  apply(Table, {.Key = "services/a", .Revision = 10, .Value = "held"});
  const std::vector<ConfigEntry> Changes = changesOf(
      Table, {.Entries = {{.Key = "services/b", .Revision = 4, .Value = "b"}},
              .Revision = 9});
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_TRUE(apply(Table, Changes[0]));
}

// First revision of the epoch that follows a restoration from a copy.
constexpr std::uint64_t NextEpoch = std::uint64_t{1} << 40;

// Guards against an evacuated zone that gets requests again because the store
// was restored from a copy without the operator's key.
TEST(Repair, KeyThatARestoredStoreLostStaysInEffect) {
  ConfigTable Table;
  apply(Table, {.Key = "zones/a", .Revision = 10, .Value = "out"});
  EXPECT_TRUE(
      changesOf(Table, {.Entries = {}, .Revision = NextEpoch + 4}).empty());
}

// Guards against a key that no operator wrote again and that never lapses.
TEST(Repair, KeyThatNobodyWroteAgainLapsesInASettledRead) {
  ConfigTable Table;
  apply(Table, {.Key = "zones/a", .Revision = 10, .Value = "out"});
  apply(Table, {.Key = "moves/s", .Revision = 11, .Value = "record"});
  const auto Changes = changesOf(Table, {.Entries = {},
                                         .Revision = NextEpoch + 4,
                                         .Settled = true,
                                         .OwnPrefix = "moves/"});
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].Key, "zones/a");
  EXPECT_TRUE(Changes[0].Tombstone);
}

} // namespace
} // namespace magnolia::policy
