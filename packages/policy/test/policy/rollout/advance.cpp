#include "policy/rollout/advance.h"
#include "policy/rollout/breaker.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint at(double Second) {
  return TimePoint{std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Second))};
}

// Returns a rollout from second 1000 to second 1120 in the given phase.
RolloutRecord rolloutIn(RolloutPhase Phase, std::uint32_t Step = 0,
                        double StepSince = 1'000) {
  RolloutRecord Record;
  Record.Service = "stock";
  Record.Id = "move-1";
  Record.Start = at(1'000);
  Record.Deadline = at(1'120);
  Record.Phase = Phase;
  Record.Step = Step;
  Record.StepSince = at(StepSince);
  Record.Share = Phase == RolloutPhase::Done ? 1.0
                 : Phase == RolloutPhase::Shifting
                     ? RolloutOptions::FullSteps[Step].Share
                     : 0.0;
  return Record;
}

RolloutStats stats(std::uint32_t Step, std::uint64_t New,
                   VerdictKind Kind = VerdictKind::None) {
  RolloutStats Result;
  Result.RolloutId = "move-1";
  Result.Step = Step;
  Result.Current.Kind = Kind;
  RouteStats &Route = Result.Routes.emplace_back();
  Route.Route = "/a";
  Route.New.Requests = New;
  Route.Old.Requests = 1'000;
  return Result;
}

struct AdvanceCase {
  const char *GuardsAgainst;
  RolloutRecord Record;
  RolloutStats Stats;
  double Second;
  // Expected phase and share; no value if the record must not change.
  std::optional<RolloutPhase> Phase;
  double Share = 0.0;
};

RolloutStats withUntriedRoute(RolloutStats Stats) {
  Stats.Routes.emplace_back().Route = "/b";
  Stats.Routes.back().Old.Requests = 500;
  return Stats;
}

const RolloutRecord Late = rolloutIn(RolloutPhase::Shifting, 5, 1'090);

const AdvanceCase Cases[] = {
    {"a rollout that starts before its start time",
     rolloutIn(RolloutPhase::Planned), stats(0, 0), 999, std::nullopt},
    {"a first share above 2%", rolloutIn(RolloutPhase::Planned), stats(0, 0),
     1'000, RolloutPhase::Shifting, 0.02},
    {"a rollout that starts with too little time left",
     rolloutIn(RolloutPhase::Planned), stats(0, 0), 1'095,
     RolloutPhase::RolledBack},
    {"a step without its soak time", rolloutIn(RolloutPhase::Shifting),
     stats(0, 100), 1'002, std::nullopt},
    {"a second share above 5%", rolloutIn(RolloutPhase::Shifting),
     stats(0, 100), 1'020, RolloutPhase::Shifting, 0.05},
    {"a share above 5% without enough responses",
     rolloutIn(RolloutPhase::Shifting, 1), stats(1, 19), 1'050, std::nullopt},
    {"a share above 5% based on responses of an earlier step",
     rolloutIn(RolloutPhase::Shifting, 1), stats(0, 100), 1'050, std::nullopt},
    {"a share above 5% with a high-traffic route untried",
     rolloutIn(RolloutPhase::Shifting, 1), withUntriedRoute(stats(1, 100)),
     1'050, std::nullopt},
    {"a bad version that keeps receiving requests",
     rolloutIn(RolloutPhase::Shifting, 3), stats(3, 100, VerdictKind::Bad),
     1'001, RolloutPhase::RolledBack},
    {"a bad verdict that is ignored at the end of the schedule", Late,
     stats(5, 100, VerdictKind::Bad), 1'110, RolloutPhase::RolledBack},
    {"a good rollout that does not complete", Late, stats(5, 100), 1'102,
     RolloutPhase::Done, 1.0},
    {"Done written later than 15 s before the deadline", Late, stats(5, 100),
     1'104, RolloutPhase::RolledBack},
    {"a rollout without an end after its deadline",
     rolloutIn(RolloutPhase::Shifting, 2), stats(2, 0), 1'121,
     RolloutPhase::RolledBack},
    {"a planned rollout without an end after its deadline",
     rolloutIn(RolloutPhase::Planned), stats(0, 0), 1'121,
     RolloutPhase::RolledBack},
    {"a rollout with a second end", rolloutIn(RolloutPhase::Done),
     stats(5, 100, VerdictKind::Bad), 1'121, std::nullopt},
    {"a rollout that starts again after it was rolled back",
     rolloutIn(RolloutPhase::RolledBack), stats(0, 100), 1'001, std::nullopt},
};

TEST(RolloutAdvance, FaultCases) {
  for (const AdvanceCase &Case : Cases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    const auto Next = advance(Case.Record, Case.Stats, at(Case.Second));
    ASSERT_EQ(Next.has_value(), Case.Phase.has_value());
    if (Next) {
      EXPECT_EQ(Next->Phase, *Case.Phase);
      EXPECT_EQ(Next->Share, Case.Share);
    }
  }
}

struct BreakerCase {
  const char *GuardsAgainst;
  RolloutRecord Record;
  std::function<void(RolloutBreaker &)> Events;
  double Second;
  double Share;
};

void addResponses(RolloutBreaker &Breaker, VersionRole Role, bool Failed,
                  double Second, int Times = 1,
                  milliseconds Latency = milliseconds{10}) {
  for (int I = 0; I < Times; ++I) {
    countResponse(Breaker, "/a", Role, Failed, Latency, at(Second));
  }
}

const BreakerCase BreakerCases[] = {
    {"requests to a version before its rollout starts",
     rolloutIn(RolloutPhase::Planned), [](RolloutBreaker &) {}, 1'000, 0.0},
    {"requests to a new version past the deadline without Done",
     rolloutIn(RolloutPhase::Shifting, 5), [](RolloutBreaker &) {}, 1'120, 0.0},
    {"a completed rollout that the deadline reverts",
     rolloutIn(RolloutPhase::Done), [](RolloutBreaker &) {}, 1'200, 1.0},
    {"a first failure without a reaction", rolloutIn(RolloutPhase::Shifting, 4),
     [](RolloutBreaker &Breaker) {
       addResponses(Breaker, VersionRole::New, true, 1'000);
     },
     1'000.4, 0.0},
    {"a random failure that stops a good version permanently",
     rolloutIn(RolloutPhase::Shifting, 4),
     [](RolloutBreaker &Breaker) {
       addResponses(Breaker, VersionRole::Old, false, 1'000, 100);
       addResponses(Breaker, VersionRole::New, true, 1'000);
       addResponses(Breaker, VersionRole::New, false, 1'001.1);
     },
     1'002, 0.5},
    {"a half-open period that waits for a small share of little traffic",
     rolloutIn(RolloutPhase::Shifting),
     [](RolloutBreaker &Breaker) {
       addResponses(Breaker, VersionRole::Old, false, 1'000, 20);
       addResponses(Breaker, VersionRole::New, true, 1'000);
     },
     1'001.1, 0.25},
    {"a version that fails again in the half-open period",
     rolloutIn(RolloutPhase::Shifting, 4),
     [](RolloutBreaker &Breaker) {
       addResponses(Breaker, VersionRole::Old, false, 1'000, 40);
       addResponses(Breaker, VersionRole::New, true, 1'000);
       addResponses(Breaker, VersionRole::New, true, 1'000.6);
       addResponses(Breaker, VersionRole::New, true, 1'000.8);
     },
     1'100, 0.0},
    {"failures that are further apart than the windows cover",
     rolloutIn(RolloutPhase::Shifting),
     [](RolloutBreaker &Breaker) {
       for (int I = 0; I < 3; ++I) {
         addResponses(Breaker, VersionRole::Old, false, 1'000 + 15 * I, 40);
         addResponses(Breaker, VersionRole::New, true, 1'000 + 15 * I);
       }
     },
     1'100, 0.0},
    {"a slow version that receives requests for two seconds",
     rolloutIn(RolloutPhase::Shifting, 4),
     [](RolloutBreaker &Breaker) {
       for (int I = 0; I < 10; ++I) {
         addResponses(Breaker, VersionRole::Old, false, 1'000 + 0.1 * I, 4);
         addResponses(Breaker, VersionRole::New, false, 1'000 + 0.1 * I, 1,
                      milliseconds{100});
       }
     },
     1'002, 0.0},
    {"a short burst of noise that ends a good rollout",
     rolloutIn(RolloutPhase::Shifting, 4),
     [](RolloutBreaker &Breaker) {
       addResponses(Breaker, VersionRole::Old, false, 1'000, 50);
       addResponses(Breaker, VersionRole::New, false, 1'000, 10,
                    milliseconds{100});
       addResponses(Breaker, VersionRole::New, false, 1'000.3, 20);
     },
     1'002, 0.5},
    {"a verdict of another node that is ignored",
     rolloutIn(RolloutPhase::Shifting, 4),
     [](RolloutBreaker &Breaker) {
       joinVerdict(Breaker, "move-1", {VerdictKind::Bad, "elsewhere"});
       joinVerdict(Breaker, "move-1", {VerdictKind::None, ""});
     },
     1'001, 0.0},
    {"the verdict of an earlier rollout that stops this one",
     rolloutIn(RolloutPhase::Shifting, 4),
     [](RolloutBreaker &Breaker) {
       joinVerdict(Breaker, "move-0", {VerdictKind::Bad, "earlier"});
     },
     1'001, 0.5},
};

TEST(RolloutBreakerState, FaultCases) {
  for (const BreakerCase &Case : BreakerCases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    RolloutBreaker Breaker;
    beginRollout(Breaker, Case.Record);
    Case.Events(Breaker);
    EXPECT_EQ(effectiveShare(Case.Record, Breaker, at(Case.Second)),
              Case.Share);
  }
}

// Guards against responses that are counted twice when a report is sent again,
// and against reports of an earlier incarnation or rollout.
TEST(RolloutStats, RepeatedReportsCountOnce) {
  const RolloutRecord Record = rolloutIn(RolloutPhase::Shifting);
  StatsReport Report = {.Node = 7,
                        .Run = 2,
                        .RolloutId = "move-1",
                        .Window = 1,
                        .Step = 0,
                        .Routes = {}};
  Report.Routes = stats(0, 10).Routes;
  RolloutStats Stats;
  addReport(Stats, Record, Report, at(1'000));
  addReport(Stats, Record, Report, at(1'000));
  Report.Run = 1;
  Report.Window = 9;
  addReport(Stats, Record, Report, at(1'000));
  Report.Run = 2;
  Report.RolloutId = "move-0";
  addReport(Stats, Record, Report, at(1'000));
  ASSERT_EQ(Stats.Routes.size(), 1U);
  EXPECT_EQ(Stats.Routes[0].New.Requests, 10U);
}

// Guards against two drivers at once, against no driver after the first has
// failed, and against ranks that depend on the order of the members.
TEST(RolloutDriver, RanksAreDistinctAndTakeOver) {
  std::vector<Member> Watchers(6);
  for (std::size_t I = 0; I < Watchers.size(); ++I) {
    Watchers[I].Node = hashOf(std::to_string(I));
  }
  const std::vector<Member> Reversed(Watchers.rbegin(), Watchers.rend());
  std::vector<bool> Seen(Watchers.size());
  std::size_t AtOnce = 0;
  std::size_t Later = 0;
  for (const Member &One : Watchers) {
    const auto Rank = driverRank(One.Node, Watchers, "move-1");
    ASSERT_TRUE(Rank);
    EXPECT_EQ(Rank, driverRank(One.Node, Reversed, "move-1"));
    EXPECT_FALSE(Seen[*Rank]);
    Seen[*Rank] = true;
    AtOnce += shouldDrive(One.Node, Watchers, "move-1", at(0), at(0)) ? 1 : 0;
    Later += shouldDrive(One.Node, Watchers, "move-1", at(0), at(20)) ? 1 : 0;
  }
  EXPECT_EQ(AtOnce, 1U);
  EXPECT_EQ(Later, 6U);
  EXPECT_FALSE(driverRank(1, Watchers, "move-1"));
}

} // namespace
} // namespace magnolia::policy
