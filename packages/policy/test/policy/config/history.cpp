#include "policy/config/history.h"
#include "policy/config/apply.h"
#include "policy/config/exchange.h"
#include "policy/config/patch.h"
#include "policy/config/send_form.h"
#include "policy/core/error.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace magnolia::policy {
namespace {

constexpr std::size_t LineCount = 500;

// Value of 500 lines of which one depends on the revision.
ConfigEntry version(std::uint64_t Revision, std::string Key = "routing/table") {
  std::string Value;
  for (std::size_t I = 0; I < LineCount; ++I) {
    Value += "route " + std::to_string(I) + " weight " +
             std::to_string(I == Revision % LineCount ? Revision : 0) + "\n";
  }
  return {.Key = std::move(Key),
          .Revision = Revision,
          .Value = std::move(Value),
          .Tombstone = false};
}

// Applies the patches that the holder of the revision receives. Returns false
// if there are none.
bool catchUp(const ConfigTable &From, ConfigTable &To, std::uint64_t Revision) {
  const auto Patches = patchesSince(From, "routing/table", Revision);
  for (const ValuePatch &Patch : Patches) {
    Error LastError;
    EXPECT_EQ(apply(To, Patch, LastError), PatchOutcome::Applied);
  }
  return !Patches.empty();
}

// Guards against a node some changes behind that receives the whole table, and
// against revisions that are taken for dense.
TEST(ConfigHistory, PatchesLeadFromEachKeptRevisionToTheCurrentOne) {
  const std::vector<std::uint64_t> Revisions = {
      5, 9, 1'000, (std::uint64_t{3} << 40) + 1, (std::uint64_t{3} << 40) + 8};
  ConfigTable Table;
  for (const std::uint64_t Revision : Revisions) {
    apply(Table, version(Revision));
  }
  for (const std::uint64_t Revision : Revisions) {
    ConfigTable Behind;
    apply(Behind, version(Revision));
    EXPECT_EQ(catchUp(Table, Behind, Revision), Revision != Revisions.back());
    EXPECT_EQ(Behind.Entries.at("routing/table").Value,
              version(Revisions.back()).Value);
    EXPECT_EQ(digest(Behind), digest(Table));
  }
  EXPECT_TRUE(patchesSince(Table, "routing/table", 7).empty());
  EXPECT_TRUE(patchesSince(Table, "routing/table", 0).empty());
  EXPECT_TRUE(patchesSince(Table, "other", 5).empty());
}

// Guards against a node that received a change as a patch and cannot pass it
// on as one.
TEST(ConfigHistory, AppliedPatchesAreKept) {
  ConfigTable First;
  apply(First, version(1));
  ConfigTable Second = First;
  ConfigTable Third = First;
  apply(First, version(2));
  apply(First, version(3));
  EXPECT_TRUE(catchUp(First, Second, 1));
  EXPECT_TRUE(catchUp(Second, Third, 1));
  EXPECT_EQ(Third.Entries.at("routing/table").Value, version(3).Value);
}

// Guards against histories that grow with the number of changes or keys.
TEST(ConfigHistory, IsBounded) {
  ConfigTable Table;
  Table.Limits.MaxPatches = 4;
  Table.Limits.MaxHistoryBytes = 2'000;
  for (std::uint64_t Revision = 1; Revision <= 400; ++Revision) {
    apply(Table, version(Revision, "key" + std::to_string(Revision % 7)));
    std::size_t Bytes = 0;
    for (const auto &[Key, History] : Table.Histories) {
      ASSERT_FALSE(History.Patches.empty());
      ASSERT_LE(History.Patches.size(), 4U);
      ASSERT_EQ(History.Patches.back().Revision,
                Table.Entries.at(Key).Revision);
      std::size_t KeyBytes = 0;
      for (const ValuePatch &Patch : History.Patches) {
        KeyBytes += bytesOf(Patch);
      }
      ASSERT_EQ(History.Bytes, KeyBytes);
      Bytes += KeyBytes;
    }
    ASSERT_EQ(Table.HistoryBytes, Bytes);
    ASSERT_LE(Bytes, 2'000U);
  }
  EXPECT_FALSE(Table.Histories.empty());
}

struct EndCase {
  const char *GuardsAgainst;
  ConfigEntry Entry;
};

// Guards against patches from before a change that they cannot describe.
TEST(ConfigHistory, EndsWhereAPatchSavesNothing) {
  const EndCase Cases[] = {
      {"a deleted key that patches bring back",
       {.Key = "routing/table", .Revision = 3, .Value = "", .Tombstone = true}},
      {"patches to a value that is short enough to be sent whole",
       {.Key = "routing/table", .Revision = 3, .Value = "x"}},
      {"a patch as long as the value",
       {.Key = "routing/table",
        .Revision = 3,
        .Value = std::string(100'000, 'x')}},
  };
  for (const EndCase &Case : Cases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    ConfigTable Table;
    apply(Table, version(1));
    apply(Table, version(2));
    ASSERT_FALSE(patchesSince(Table, "routing/table", 1).empty());
    apply(Table, Case.Entry);
    EXPECT_TRUE(patchesSince(Table, "routing/table", 1).empty());
    EXPECT_EQ(Table.HistoryBytes, 0U);
  }
}

struct OutcomeCase {
  const char *GuardsAgainst;
  std::uint64_t Held;
  void (*Change)(ValuePatch &);
  PatchOutcome Expected;
};

const OutcomeCase OutcomeCases[] = {
    {"a patch to another revision that is applied anyway", 1,
     [](ValuePatch &) {}, PatchOutcome::OtherBase},
    {"a repeated patch that counts as a change", 3, [](ValuePatch &) {},
     PatchOutcome::Known},
    {"a late patch that reverts a newer value", 9, [](ValuePatch &) {},
     PatchOutcome::Known},
    {"a patch to a key that the table lacks", 0, [](ValuePatch &) {},
     PatchOutcome::OtherBase},
    {"a damaged patch that takes effect", 2,
     [](ValuePatch &Patch) { ++Patch.Digest; }, PatchOutcome::Misfit},
    {"a patch that fits and is refused", 2, [](ValuePatch &) {},
     PatchOutcome::Applied},
};

TEST(ConfigHistory, PatchOutcomes) {
  for (const OutcomeCase &Case : OutcomeCases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    ConfigTable Table;
    if (Case.Held != 0) {
      apply(Table, version(Case.Held));
    }
    const ConfigDigest Before = digest(Table);
    ValuePatch Patch = makePatch(version(2), version(3));
    Case.Change(Patch);
    Error LastError;
    EXPECT_EQ(apply(Table, Patch, LastError), Case.Expected);
    EXPECT_EQ(digest(Table) == Before, Case.Expected != PatchOutcome::Applied);
  }
}

// Guards against a result that exceeds the limit of a value.
TEST(ConfigHistory, PatchesKeepTheLimits) {
  ConfigTable Table;
  apply(Table, version(2));
  Table.Limits.MaxValueBytes = 1'000;
  Error LastError;
  EXPECT_EQ(apply(Table, makePatch(version(2), version(3)), LastError),
            PatchOutcome::Misfit);
}

struct FormCase {
  const char *GuardsAgainst;
  // Revisions applied one after the other.
  std::vector<ConfigEntry> Entries;
  SendForm Push;
  // What a holder of revision 1 and a node without the key receive.
  SendForm Behind;
  SendForm Empty;
};

TEST(ConfigSendForm, FaultCases) {
  const ConfigEntry Small = {
      .Key = "routing/table", .Revision = 2, .Value = "x"};
  const ConfigEntry Deleted = {
      .Key = "routing/table", .Revision = 2, .Value = "", .Tombstone = true};
  const ConfigEntry Other = {
      .Key = "routing/table", .Revision = 2, .Value = std::string(50'000, 'x')};
  const FormCase Cases[] = {
      {"a short value that costs a second call",
       {Small},
       SendForm::Value,
       SendForm::Value,
       SendForm::Value},
      {"a deletion that costs a second call",
       {version(1), Deleted},
       SendForm::Value,
       SendForm::Value,
       SendForm::Value},
      {"a large value sent three times unasked",
       {version(1)},
       SendForm::Notice,
       SendForm::Nothing,
       SendForm::Value},
      {"a change of one line that costs a fetch",
       {version(1), version(2)},
       SendForm::Patches,
       SendForm::Patches,
       SendForm::Value},
      {"a patch as large as the value",
       {version(1), Other},
       SendForm::Notice,
       SendForm::Value,
       SendForm::Value},
  };
  for (const FormCase &Case : Cases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    ConfigTable Table;
    for (const ConfigEntry &Entry : Case.Entries) {
      apply(Table, Entry);
    }
    EXPECT_EQ(pushForm(Table, Table.Entries.at("routing/table")), Case.Push);
    EXPECT_EQ(fetchForm(Table, "routing/table", 1), Case.Behind);
    EXPECT_EQ(fetchForm(Table, "routing/table", 0), Case.Empty);
  }
  EXPECT_EQ(fetchForm({}, "routing/table", 0), SendForm::Nothing);
}

} // namespace
} // namespace magnolia::policy
