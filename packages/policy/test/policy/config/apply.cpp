#include "policy/config/apply.h"
#include "policy/config/exchange.h"
#include "policy/core/types.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace magnolia::policy {
namespace {

ConfigEntry entry(std::uint64_t Revision, std::string Value,
                  std::string Key = "zones/a") {
  return {
      .Key = std::move(Key), .Revision = Revision, .Value = std::move(Value)};
}

ConfigEntry deletion(std::uint64_t Revision, std::string Key = "zones/a") {
  return {.Key = std::move(Key),
          .Revision = Revision,
          .Value = "",
          .Tombstone = true};
}

struct ApplyCase {
  const char *GuardsAgainst;
  std::vector<ConfigEntry> Entries;
  // Value in effect at the end; empty if there is none.
  std::string Value;
  std::uint64_t Applied;
};

const ApplyCase ApplyCases[] = {
    {"an older value that arrives late and reverts a newer one",
     {entry(2, "new"), entry(1, "old")},
     "new",
     1},
    {"a repeated push that counts as a change and is forwarded for ever",
     {entry(2, "new"), entry(2, "new")},
     "new",
     1},
    {"a deleted key that reappears with an old value",
     {entry(1, "old"), deletion(2), entry(1, "old")},
     "",
     2},
    {"a deletion that arrives before the value it deletes",
     {deletion(2), entry(1, "old")},
     "",
     1},
    {"a key that cannot be created again after its deletion",
     {entry(1, "old"), deletion(2), entry(3, "new")},
     "new",
     3},
    {"a value without a revision, which cannot be replaced reliably",
     {entry(0, "none")},
     "",
     0},
    {"a value over the limit that takes effect on some nodes only",
     {entry(1, std::string(ConfigLimits{}.MaxValueBytes + 1, 'x'))},
     "",
     0},
    {"an entry without a key", {entry(1, "x", "")}, "", 0},
};

TEST(ConfigApply, FaultCases) {
  for (const ApplyCase &Case : ApplyCases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    ConfigTable Table;
    for (const ConfigEntry &Entry : Case.Entries) {
      apply(Table, Entry);
    }
    const ConfigEntry *Found = find(Table, "zones/a");
    EXPECT_EQ(Found == nullptr ? "" : Found->Value, Case.Value);
    EXPECT_EQ(Table.Counters.Applied, Case.Applied);
  }
}

// Guards against a table that grows without bound, and against a full table
// whose keys can no longer be changed or deleted.
TEST(ConfigApply, EnforcesLimitsButAllowsDeletions) {
  ConfigTable Table;
  Table.Limits.MaxEntries = 2;
  Table.Limits.MaxBytes = 40;
  EXPECT_TRUE(apply(Table, entry(1, std::string(10, 'x'), "a")));
  EXPECT_TRUE(apply(Table, entry(2, std::string(20, 'x'), "b")));
  EXPECT_FALSE(apply(Table, entry(3, "x", "c")));
  EXPECT_FALSE(apply(Table, entry(4, std::string(30, 'x'), "a")));
  EXPECT_EQ(Table.Counters.OverLimit, 2U);
  EXPECT_TRUE(apply(Table, entry(5, "y", "a")));
  EXPECT_TRUE(apply(Table, deletion(6, "b")));
  EXPECT_EQ(Table.Bytes, 3U);
}

// Guards against exchanges after which two tables still differ, in either
// direction, with tombstones, and with responses truncated at the byte limit.
TEST(ConfigExchange, MakesTablesEqual) {
  RandomEngine Random(7);
  ConfigTable Left;
  ConfigTable Right;
  for (std::uint64_t Revision = 1; Revision <= 300; ++Revision) {
    std::string Key = "services/";
    Key += std::to_string(Random() % 100);
    const ConfigEntry Change = Random() % 4 == 0
                                   ? deletion(Revision, Key)
                                   : entry(Revision, "value", Key);
    apply(Random() % 2 == 0 ? Left : Right, Change);
  }
  int Exchanges = 0;
  for (; digest(Left) != digest(Right) && Exchanges < 100; ++Exchanges) {
    const auto Buckets = differingBuckets(digest(Left), digest(Right));
    const auto Response = diff(Right, revisions(Left, Buckets), Buckets, 200);
    for (const ConfigEntry &Newer : Response.Newer) {
      apply(Left, Newer);
    }
    for (const ConfigEntry &Wanted : missingFrom(Left, Response.Wanted, 200)) {
      apply(Right, Wanted);
    }
  }
  EXPECT_LT(Exchanges, 50);
  EXPECT_EQ(Left.Entries.size(), Right.Entries.size());
  for (const auto &[Key, Held] : Left.Entries) {
    EXPECT_EQ(Held.Revision, Right.Entries.at(Key).Revision);
  }
}

} // namespace
} // namespace magnolia::policy
