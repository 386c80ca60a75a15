#include "daemon/view/organisation_index.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace magnolia::daemon {
namespace {

using settings::OrganisationRecord;
using Random = std::mt19937_64;
using RecordMap = std::map<std::string, OrganisationRecord>;

constexpr std::size_t Names = 12;
constexpr std::size_t KeysOfName = 4;

std::string keyOf(std::size_t Name, std::size_t Key) {
  return std::string("k").append(std::to_string(Name)) + "-" +
         std::to_string(Key);
}

OrganisationRecord anyRecord(std::size_t Name, Random &Engine) {
  OrganisationRecord Record{
      .Name = std::string("org-").append(std::to_string(Name))};
  for (std::size_t Key = 0; Key < KeysOfName; ++Key) {
    if (Engine() % 2 == 0) {
      Record.Keys.push_back(keyOf(Name, Key));
    }
  }
  return Record;
}

std::string ownerOf(const OrganisationIndex &Index, const std::string &Key) {
  const OrganisationRecord *const Owner = findOwner(Index, digestOf(Key));
  return Owner ? Owner->Name : "";
}

// Guards against a withdrawn key that stays valid, or a valid one that is lost,
// because of the versions of the table before.
TEST(OrganisationIndex, ChangesGiveTheIndexOfAllRecords) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Random Engine(Seed);
    OrganisationIndex Index;
    RecordMap InEffect;
    for (int Version = 0; Version < 60; ++Version) {
      std::vector<OrganisationRecord> Removed;
      std::vector<OrganisationRecord> Added;
      for (std::size_t Name = 0; Name < Names; ++Name) {
        if (Engine() % 4 != 0) {
          continue;
        }
        OrganisationRecord Record = anyRecord(Name, Engine);
        if (const auto Old = InEffect.extract(Record.Name)) {
          Removed.push_back(Old.mapped());
        }
        if (Engine() % 3 != 0) {
          InEffect[Record.Name] = Record;
          Added.push_back(std::move(Record));
        }
      }
      policy::Error LastError;
      auto Next = withChanges(Index, Removed, Added, LastError);
      ASSERT_TRUE(Next) << LastError.Detail;
      Index = *std::move(Next);
      ASSERT_EQ(Index.Organisations.size(), InEffect.size());
      std::size_t Keys = 0;
      for (std::size_t Name = 0; Name < Names; ++Name) {
        const auto Record =
            InEffect.find(std::string("org-").append(std::to_string(Name)));
        for (std::size_t Key = 0; Key < KeysOfName; ++Key) {
          const std::string Text = keyOf(Name, Key);
          const bool IsValid = Record != InEffect.end() &&
                               std::count(Record->second.Keys.begin(),
                                          Record->second.Keys.end(), Text) > 0;
          ASSERT_EQ(ownerOf(Index, Text), IsValid ? Record->first : "")
              << Seed << " " << Text;
          Keys += IsValid ? 1 : 0;
        }
      }
      EXPECT_EQ(Index.Keys.size(), Keys);
    }
  }
}

// Guards against a key that belongs to one organisation on one node and to
// another one elsewhere, against one that is lost with the other organisation,
// and against a reason that contains it.
TEST(OrganisationIndex, ContradictionsHaveOneResult) {
  policy::Error LastError;
  const std::vector<OrganisationRecord> Shared = {
      {.Name = "b", .Keys = {"secret"}}, {.Name = "a", .Keys = {"secret"}}};
  const auto Both = withChanges({}, {}, Shared, LastError);
  ASSERT_TRUE(Both);
  EXPECT_EQ(ownerOf(*Both, "secret"), "a");
  const auto Rest = withChanges(*Both, {&Shared[1], 1}, {}, LastError);
  ASSERT_TRUE(Rest);
  EXPECT_EQ(ownerOf(*Rest, "secret"), "b");
  const std::vector<OrganisationRecord> Twice = {
      {.Name = "a", .Keys = {"secret"}}, {.Name = "a", .Keys = {"other"}}};
  EXPECT_FALSE(withChanges({}, {}, Twice, LastError));
  EXPECT_EQ(LastError.Detail,
            "routing table: the organisation a has two lines");
}

// Guards against a withdrawn key that is not noticed.
TEST(OrganisationIndex, LostKeys) {
  const OrganisationRecord Before{.Name = "a", .Keys = {"k1", "k2"}};
  OrganisationRecord Now = Before;
  EXPECT_FALSE(lostKey(Before, &Before));
  EXPECT_FALSE(lostKey(Before, &Now));
  Now.Keys = {"k3", "k2", "k1"};
  EXPECT_FALSE(lostKey(Before, &Now));
  Now.Keys = {"k3", "k2"};
  EXPECT_TRUE(lostKey(Before, &Now));
  EXPECT_TRUE(lostKey(Before, nullptr));
}

} // namespace
} // namespace magnolia::daemon
