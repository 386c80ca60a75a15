#include "policy/rollout/breaker.h"
#include "policy/rollout/internal/ring.h"
#include "policy/rollout/rollout_stats.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

const TimePoint Now{std::chrono::hours(1)};
constexpr Duration Latency = milliseconds(10);

RolloutRecord shifting() {
  RolloutRecord Record;
  Record.Service = "stock";
  Record.Id = "move-1";
  Record.Start = Now;
  Record.Deadline = Now + std::chrono::minutes(2);
  Record.Phase = RolloutPhase::Shifting;
  Record.Share = 0.1;
  return Record;
}

std::string routeName(std::size_t Number) {
  return "/" + std::to_string(Number) + "/";
}

// Breaker of an entry node on which so many routes are in use.
RolloutBreaker breakerWith(std::size_t Routes) {
  RolloutBreaker Breaker;
  beginRollout(Breaker, shifting());
  for (std::size_t I = 0; I < Routes; ++I) {
    countResponse(Breaker, routeName(I), VersionRole::Old, false, Latency, Now);
  }
  return Breaker;
}

std::uint64_t responsesIn(const StatsReport &Report) {
  std::uint64_t Sum = 0;
  for (const RouteStats &Route : Report.Routes) {
    Sum += Route.New.Requests + Route.Old.Requests;
  }
  return Sum;
}

// Guards against an entry node and a driver that ignore the failures on a route
// that comes after many others.
TEST(ManyRoutes, FailuresOnALateRouteAreBad) {
  for (const std::size_t Routes : {64U, 65U, 350U, 10'000U}) {
    SCOPED_TRACE(Routes);
    RolloutBreaker Breaker = breakerWith(Routes);
    for (int I = 0; I < 40; ++I) {
      countResponse(Breaker, "/late/", VersionRole::Old, false, Latency, Now);
    }
    RolloutStats Stats;
    StatsReport Report = {.Node = 1, .Run = 1, .RolloutId = "move-1"};
    for (std::size_t I = 0; I < Routes; ++I) {
      Report.Routes.push_back({.Route = routeName(I), .Old = {.Requests = 1}});
    }
    ++Report.Window;
    addReport(Stats, shifting(), Report, Now);
    for (int I = 0; I < 5; ++I) {
      countResponse(Breaker, "/late/", VersionRole::New, true, Latency, Now);
    }
    EXPECT_EQ(Breaker.Current.Kind, VerdictKind::Bad);
    Report.Routes = {{.Route = "/late/",
                      .New = {.Requests = 5, .Failures = 5},
                      .Old = {.Requests = 40}}};
    ++Report.Window;
    EXPECT_TRUE(addReport(Stats, shifting(), Report, Now));
  }
}

// Guards against memory that grows with the number of routes.
TEST(ManyRoutes, RowsAreBounded) {
  EXPECT_EQ(breakerWith(10'000).Routes.size(), RouteRows::MaxRows);
}

// Guards against reports that a receiver rejects as too large, and against
// responses that never reach the driver.
TEST(ManyRoutes, ReportsAreSmallAndComplete) {
  RolloutBreaker Breaker = breakerWith(1'000);
  std::uint64_t Reported = 0;
  for (std::size_t I = 0; I < RouteRows::MaxRows / StatsReport::MaxRoutes;
       ++I) {
    const StatsReport Report = takeReport(Breaker, shifting(), 1, 1);
    EXPECT_LE(Report.Routes.size(), StatsReport::MaxRoutes);
    Reported += responsesIn(Report);
  }
  EXPECT_EQ(Reported, 1'000U);
  EXPECT_TRUE(takeReport(Breaker, shifting(), 1, 1).Routes.empty());
}

// Guards against failures that wait for the responses of other routes.
TEST(ManyRoutes, FailuresAreReportedFirst) {
  RolloutBreaker Breaker = breakerWith(1'000);
  countResponse(Breaker, "/slow/", VersionRole::New, false, Latency, Now);
  countResponse(Breaker, "/bad/", VersionRole::New, true, Latency, Now);
  const StatsReport Report = takeReport(Breaker, shifting(), 1, 1);
  ASSERT_EQ(Report.Routes.size(), StatsReport::MaxRoutes);
  EXPECT_EQ(Report.Routes[0].New.Failures, 1U);
  EXPECT_EQ(Report.Routes[1].New.Requests, 1U);
  EXPECT_EQ(Report.Routes[2].New.Requests, 0U);
}

// Guards against rows that are never reported while others always have new
// responses.
TEST(ManyRoutes, RowsTakeTurns) {
  RolloutBreaker Breaker = breakerWith(0);
  constexpr std::size_t Routes = 2 * StatsReport::MaxRoutes;
  std::vector<bool> Seen(Routes);
  for (int Round = 0; Round < 2; ++Round) {
    for (std::size_t I = 0; I < Routes; ++I) {
      countResponse(Breaker, routeName(I), VersionRole::New, false, Latency,
                    Now);
    }
    for (const RouteStats &Route :
         takeReport(Breaker, shifting(), 1, 1).Routes) {
      Seen[std::stoul(Route.Route.substr(1))] = true;
    }
  }
  EXPECT_EQ(std::count(Seen.begin(), Seen.end(), true), Routes);
}

// Guards against sums over all routes that differ from those of the routes.
TEST(ManyRoutes, CombinedRingEqualsTheSumOfTheRings) {
  std::mt19937_64 Random(1);
  std::vector<ResponseRing> Rings(8);
  CombinedRing All;
  std::uint64_t Number = 1'000;
  for (int I = 0; I < 2'000; ++I) {
    Number += Random() % 20 == 0 ? 1 : 0;
    ResponsePair Added;
    addResponse(Random() % 10 == 0 ? Added.New : Added.Old, Random() % 3 == 0,
                milliseconds(Random() % 50));
    internal::addToRings(Rings[Random() % Rings.size()], All,
                         Number - Random() % 8, Added);
    ResponsePair Sum;
    VersionCounts Old;
    for (const ResponseRing &Ring : Rings) {
      addPair(Sum,
              internal::pairedSum(Ring, Number, ResponseRing::WindowCount));
      addCounts(Old, internal::oldSum(Ring, Number));
    }
    const ResponsePair Combined =
        internal::pairedSum(All.Paired, Number, ResponseRing::WindowCount);
    ASSERT_EQ(Combined.New.Requests, Sum.New.Requests);
    ASSERT_EQ(Combined.New.Failures, Sum.New.Failures);
    ASSERT_EQ(Combined.Old.Requests, Sum.Old.Requests);
    ASSERT_EQ(Combined.Old.Failures, Sum.Old.Failures);
    ASSERT_EQ(Combined.Old.Latency, Sum.Old.Latency);
    ASSERT_EQ(internal::oldSum(All.Every, Number).Requests, Old.Requests);
  }
}

} // namespace
} // namespace magnolia::policy
