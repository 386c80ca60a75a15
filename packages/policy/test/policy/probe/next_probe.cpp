#include "policy/probe/next_probe.h"

#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};

// Guards against more probes than the budget allows in any interval, at any
// load, after an idle time and while the clock does not advance.
TEST(ProbeBudget, NeverOverBudgetInAnyInterval) {
  const std::uint64_t Seed = 11;
  RandomEngine Random(Seed);
  RouteState Route;
  const std::vector<CandidateSpec> Specs = {{.Node = 1}, {.Node = 2}};
  updateCandidates(Route, Specs, Start);
  ProbeBudget Budget;
  struct Sample {
    TimePoint At;
    double Probes, Requests;
  };
  std::vector<Sample> Samples;
  TimePoint Now = Start;
  for (int I = 0; I < 2000; ++I) {
    const auto Step = Random() % 10 == 0 ? Random() % 1'000'000'000 : 0;
    Now += Duration(Step);
    for (std::uint64_t N = Random() % 50; N > 0; --N) {
      recordRequest(Budget, Now);
    }
    for (std::uint64_t N = Random() % 5; N > 0; --N) {
      (void)nextProbe(Budget, Route, Now, Random);
    }
    Samples.push_back({Now, static_cast<double>(Budget.Probes),
                       static_cast<double>(Budget.Requests)});
  }
  const ProbeOptions &Options = Budget.Options;
  for (std::size_t I = 0; I < Samples.size(); I += 7) {
    for (std::size_t J = I; J < Samples.size(); J += 13) {
      const double Seconds =
          std::chrono::duration<double>(Samples[J].At - Samples[I].At).count();
      ASSERT_LE(Samples[J].Probes - Samples[I].Probes,
                Options.Cap + 1e-6 + Options.FloorPerSecond * Seconds +
                    Options.Ratio * (Samples[J].Requests - Samples[I].Requests))
          << "seed " << Seed;
    }
  }
  EXPECT_GT(Budget.Refused, 0U);
}

// Guards against probes of candidates whose load report is fresh.
TEST(ProbeBudget, FreshReportsNeedNoProbe) {
  RandomEngine Random(1);
  RouteState Route;
  const std::vector<CandidateSpec> Specs = {{.Node = 1}, {.Node = 2}};
  updateCandidates(Route, Specs, Start);
  onReport(Route, 1, {.Limit = 4}, Start);
  ProbeBudget Budget;
  EXPECT_EQ(nextProbe(Budget, Route, Start, Random), 2U);
  onReport(Route, 2, {.Limit = 4}, Start);
  EXPECT_EQ(nextProbe(Budget, Route, Start, Random), std::nullopt);
  EXPECT_EQ(Budget.Probes, 1U);
}

// Guards against a prober that wakes up many times a second although its budget
// allows a probe every few seconds.
TEST(NextProbe, TimeUntilTheBudgetAllowsAProbe) {
  const TimePoint Now{std::chrono::seconds(100)};
  ProbeBudget Budget;
  Budget.Options.FloorPerSecond = 0.5;
  EXPECT_EQ(untilNextProbe(Budget, Now), Duration{0});
  Budget.Since = Budget.FilledAt = Now;
  Budget.Tokens = 0;
  EXPECT_EQ(untilNextProbe(Budget, Now), std::chrono::seconds(2));
  EXPECT_EQ(untilNextProbe(Budget, Now + std::chrono::seconds(3)), Duration{0});
  Budget.Tokens = 1;
  EXPECT_EQ(untilNextProbe(Budget, Now), Duration{0});
}

} // namespace
} // namespace magnolia::policy
