#include "policy/rollout/lost_record.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

// First revision of the epoch that follows a restoration from a copy.
constexpr std::uint64_t NextEpoch = std::uint64_t{1} << 40;

RolloutRecord record(const char *Id, RolloutPhase Phase, std::uint32_t Step,
                     std::uint64_t Revision) {
  return {.Service = "s",
          .ToVersion = "2",
          .Id = Id,
          .Phase = Phase,
          .Step = Step,
          .Revision = Revision};
}

struct Row {
  const char *GuardsAgainst;
  RolloutRecord Held;
  RolloutRecord Read;
  // True if the held record stays in effect.
  bool Kept;
};

TEST(LostRecord, RolloutDoesNotGoBack) {
  const RolloutRecord Third = record("order-60", RolloutPhase::Shifting, 3, 70);
  const RolloutRecord Done = record("order-60", RolloutPhase::Done, 6, 72);
  const Row Rows[] = {
      {"a step that is undone by the copy", Third,
       record("order-60", RolloutPhase::Shifting, 2, NextEpoch + 64), true},
      {"a completed rollout that runs again, with its old servers gone", Done,
       record("order-60", RolloutPhase::Shifting, 5, NextEpoch + 64), true},
      {"a rollout that gives way to the one before it", Third,
       record("order-20", RolloutPhase::Done, 6, NextEpoch + 30), true},
      {"a write of the new epoch that is taken for an old one", Third,
       record("order-60", RolloutPhase::Shifting, 4, NextEpoch + 64), false},
      {"a record in the copy that is written again without a need", Third,
       record("order-60", RolloutPhase::Shifting, 3, NextEpoch + 64), false},
      {"a rollout of the new epoch that is taken for an old one", Third,
       record("order-1099511627800", RolloutPhase::Planned, 0, NextEpoch + 64),
       false},
      {"another end than that in the store", Done,
       record("order-60", RolloutPhase::RolledBack, 2, NextEpoch + 64), false},
      {"a later write of the same epoch that is taken for a lost one", Third,
       record("order-60", RolloutPhase::Planned, 0, 71), false},
  };
  for (const Row &Next : Rows) {
    const RolloutRecord InEffect = recordInEffect(&Next.Held, Next.Read);
    RolloutRecord Expected = Next.Kept ? Next.Held : Next.Read;
    Expected.Revision = Next.Read.Revision;
    Expected.Stored = !Next.Kept;
    EXPECT_EQ(InEffect, Expected) << Next.GuardsAgainst;
  }
}

// Guards against a step back when another driver, which knew less, was the
// first to write its record again.
TEST(LostRecord, LaterRecordIsKeptUntilTheStoreHoldsIt) {
  const RolloutRecord Third = record("order-60", RolloutPhase::Shifting, 3, 70);
  const RolloutRecord Kept = recordInEffect(
      &Third, record("order-60", RolloutPhase::Planned, 0, NextEpoch + 61));
  const RolloutRecord Again = recordInEffect(
      &Kept, record("order-60", RolloutPhase::Shifting, 2, NextEpoch + 62));
  EXPECT_EQ(Again.Step, 3U);
  EXPECT_FALSE(Again.Stored);
  EXPECT_EQ(Again.Revision, NextEpoch + 62);
}

// Guards against a record that nobody writes again, and a write under a
// condition that the store can never meet.
TEST(LostRecord, AbsentKeyIsWrittenAgain) {
  const RolloutRecord Third = record("order-60", RolloutPhase::Shifting, 3, 70);
  EXPECT_FALSE(isLost(Third, 0));
  EXPECT_EQ(expectedRevision(Third, 0), 70U);
  EXPECT_TRUE(isLost(Third, 1));
  EXPECT_EQ(expectedRevision(Third, 1), 0U);
}

} // namespace
} // namespace magnolia::policy
