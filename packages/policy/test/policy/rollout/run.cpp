#include "policy/rollout/rollout_run.h"

#include <gtest/gtest.h>

#include <string>

namespace magnolia::policy::test {
namespace {

struct RunCase {
  const char *GuardsAgainst;
  NewVersion Behaviour;
  RolloutPhase End;
};

constexpr RunCase Cases[] = {
    {"a good rollout that does not complete in time", NewVersion::Good,
     RolloutPhase::Done},
    {"noise on both versions that ends a good rollout",
     NewVersion::GoodUnderNoise, RolloutPhase::Done},
    {"a version that fails at once", NewVersion::Fails,
     RolloutPhase::RolledBack},
    {"a version that fails on one route", NewVersion::FailsOnOneRoute,
     RolloutPhase::RolledBack},
    {"a version that fails half of its requests", NewVersion::FailsHalf,
     RolloutPhase::RolledBack},
    {"a version that is slow at once", NewVersion::Slows,
     RolloutPhase::RolledBack},
    {"a version that fails later", NewVersion::FailsLate,
     RolloutPhase::RolledBack},
    {"a version that slows down later", NewVersion::SlowsLate,
     RolloutPhase::RolledBack},
    {"a version that fails under load", NewVersion::FailsUnderLoad,
     RolloutPhase::RolledBack},
    {"a version that slows down under load", NewVersion::SlowsUnderLoad,
     RolloutPhase::RolledBack},
};

constexpr std::uint64_t Seeds = 6;

// Guards against a bad version that is completed because its fault shows on a
// route that came into use after many others.
TEST(RolloutRun, FindsAFaultOnOneOfManyRoutes) {
  for (const std::size_t Routes : {64U, 65U, 350U, 10'000U}) {
    for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
      SCOPED_TRACE(std::to_string(Routes) + " routes, seed " +
                   std::to_string(Seed));
      const RolloutRun Run =
          runRollout({.Seed = Seed,
                      .Behaviour = NewVersion::FailsOnAddedRoute,
                      .Routes = Routes});
      EXPECT_EQ(Run.Store.Record.Phase, RolloutPhase::RolledBack);
      EXPECT_EQ(Run.NewAfterFault, 0U);
    }
  }
}

TEST(RolloutRun, EndsInTheExpectedPhase) {
  for (const RunCase &Case : Cases) {
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      SCOPED_TRACE(std::string(Case.GuardsAgainst) + ", seed " +
                   std::to_string(Seed));
      const RolloutRun Run =
          runRollout({.Seed = Seed, .Behaviour = Case.Behaviour});
      EXPECT_EQ(Run.Store.Record.Phase, Case.End) << Run.Store.Record.EndReason;
      EXPECT_EQ(Run.Store.Ends, 1U);
      EXPECT_EQ(Run.NewAfterFault, 0U);
      EXPECT_LE(Run.Early.New * 20, Run.Early.New + Run.Early.Old);
      if (Case.End == RolloutPhase::Done) {
        EXPECT_LE(*Run.Store.EndedAt,
                  Run.Store.Record.Deadline - RolloutOptions{}.DoneMargin);
      }
    }
  }
}

// Guards against a rollout with two ends, an end that changes, no end at all,
// or requests to the new version past the deadline: with store outages, lost
// responses, paused and restarted drivers, and concurrent writes of operators.
TEST(RolloutRun, OneEndUnderFaults) {
  for (const RunCase &Case : Cases) {
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      SCOPED_TRACE(std::string(Case.GuardsAgainst) + ", seed " +
                   std::to_string(Seed));
      const RolloutRun Run = runRollout({.Seed = Seed,
                                         .Behaviour = Case.Behaviour,
                                         .Loss = 0.2,
                                         .StoreFaults = true,
                                         .Operator = Seed % 2 == 0,
                                         .DriverFaults = true});
      EXPECT_TRUE(hasEnded(Run.Store.Record));
      EXPECT_EQ(Run.Store.Ends, 1U);
      EXPECT_EQ(Run.Reverts, 0U);
      EXPECT_EQ(Run.NewAfterDeadline, 0U);
      if (Case.End == RolloutPhase::RolledBack) {
        EXPECT_EQ(Run.Store.Record.Phase, RolloutPhase::RolledBack);
      }
    }
  }
}

} // namespace
} // namespace magnolia::policy::test
