#include "policy/config/patch.h"
#include "policy/core/error.h"
#include "policy/core/types.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace magnolia::policy {
namespace {

ConfigEntry entry(std::uint64_t Revision, std::string Value) {
  return {.Key = "routing/table",
          .Revision = Revision,
          .Value = std::move(Value),
          .Tombstone = false};
}

struct PatchCase {
  const char *GuardsAgainst;
  std::string Base;
  std::string Next;
};

const PatchCase PatchCases[] = {
    {"a patch that fails if nothing changed", "a\nb\n", "a\nb\n"},
    {"a changed line that loses its neighbours", "a\nb\nc\n", "a\nx\nc\n"},
    {"an empty base", "", "a\nb"},
    {"an empty result", "a\nb", ""},
    {"values of a single line", "one long line", "another long line"},
    {"a last line that gains a line end", "a\nb", "a\nb\n"},
    {"a last line that loses its line end", "a\nb\n", "a\nb"},
    {"a last line without a line end that moves up", "a\nthe last line",
     "the last line\na"},
    {"empty lines", "\n\n\n", "\n\nx\n\n"},
    {"a base whose prefix and suffix overlap", "a\na\na\n", "a\na\n"},
    {"a longer result of equal lines", "a\na\n", "a\na\na\na\n"},
    {"lines in another order", "first line\nsecond line\nthird line\n",
     "third line\nfirst line\nsecond line\n"},
};

TEST(ConfigPatch, FaultCases) {
  for (const PatchCase &Case : PatchCases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    const ValuePatch Patch =
        makePatch(entry(3, Case.Base), entry(7, Case.Next));
    EXPECT_EQ(Patch.BaseRevision, 3U);
    EXPECT_EQ(Patch.Revision, 7U);
    Error LastError;
    EXPECT_EQ(applyPatch(Case.Base, Patch, LastError), Case.Next);
  }
}

std::string lines(std::size_t Count, std::size_t Changed) {
  std::string Text;
  for (std::size_t I = 0; I < Count; ++I) {
    Text += "{\"route\": " + std::to_string(I) +
            ", \"weight\": " + std::to_string(I == Changed ? 7 : 1) + "}\n";
  }
  return Text;
}

// Guards against a change of one weight that costs as much as the whole table.
TEST(ConfigPatch, IsAsSmallAsTheChange) {
  const ValuePatch Patch =
      makePatch(entry(1, lines(2'000, 0)), entry(2, lines(2'000, 1'000)));
  EXPECT_LT(bytesOf(Patch), 300U);
}

// Guards against a value that depends on the order of edits: random insertions,
// removals, moves and repetitions of lines.
TEST(ConfigPatch, RandomEditsGiveTheNextValue) {
  RandomEngine Random(5);
  std::vector<std::string> Held;
  std::string Base;
  for (int Edit = 0; Edit < 2'000; ++Edit) {
    const auto At = static_cast<std::ptrdiff_t>(Random() % (Held.size() + 1));
    if (Random() % 5 < 3 || Held.empty()) {
      Held.insert(Held.begin() + At,
                  "line " + std::to_string(Random() % 50) + "\n");
    } else {
      Held.erase(Held.begin() + At % static_cast<std::ptrdiff_t>(Held.size()));
    }
    if (Random() % 4 != 0) {
      continue;
    }
    std::string Next;
    for (const std::string &Line : Held) {
      Next += Line;
    }
    Error LastError;
    ASSERT_EQ(
        applyPatch(Base, makePatch(entry(1, Base), entry(2, Next)), LastError),
        Next);
    Base = std::move(Next);
  }
}

struct MisfitCase {
  const char *GuardsAgainst;
  void (*Change)(ValuePatch &);
};

const MisfitCase MisfitCases[] = {
    {"a range behind the end of the base",
     [](ValuePatch &Patch) { Patch.Steps[0].Lines += 10; }},
    {"a range whose end wraps around",
     [](ValuePatch &Patch) {
       Patch.Steps[0].FirstLine = 0xffffffff;
       Patch.Steps[0].Lines = 0xffffffff;
     }},
    {"a value that a few steps blow up beyond the stated size",
     [](ValuePatch &Patch) {
       Patch.Steps.insert(Patch.Steps.end(), 1'000, Patch.Steps[0]);
     }},
    {"text that was changed on the way",
     [](ValuePatch &Patch) { Patch.Steps[0].Text[0] ^= 1; }},
    {"a result that is too short",
     [](ValuePatch &Patch) { Patch.Steps.pop_back(); }},
};

TEST(ConfigPatch, MisfitsGiveNothing) {
  const std::string Base = "first line\nsecond line\nthird line\n";
  for (const MisfitCase &Case : MisfitCases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    ValuePatch Patch = makePatch(
        entry(1, Base), entry(2, "first line\nchanged line\nthird line\n"));
    Case.Change(Patch);
    Error LastError;
    EXPECT_FALSE(applyPatch(Base, Patch, LastError));
    EXPECT_FALSE(LastError.Detail.empty());
  }
}

// Guards against a patch that is applied to a base of the same revision with
// another value, as after the restoration of the store from an older copy.
TEST(ConfigPatch, AnotherBaseGivesNothing) {
  const ValuePatch Patch =
      makePatch(entry(1, lines(100, 0)), entry(2, lines(100, 50)));
  Error LastError;
  EXPECT_FALSE(applyPatch(lines(100, 99), Patch, LastError));
}

} // namespace
} // namespace magnolia::policy
