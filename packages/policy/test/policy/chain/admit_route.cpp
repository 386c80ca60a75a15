#include "policy/chain/admit_route.h"

#include "chain_replay.h"

#include <gtest/gtest.h>

#include <string>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using test::ChainReplay;
using test::ReplayResult;
using test::Return;

constexpr std::uint64_t Seeds = 5;

// Parents that make two calls each, to a service that bears half of them.
ChainReplay halfTheCalls(std::uint64_t Seed) {
  ChainReplay Replay(Seed);
  Replay.Routes = {{.Name = "lookups", .PerSecond = 200, .Calls = 2},
                   {.Name = "plain", .Priority = 2, .PerSecond = 100}};
  Replay.Capacity = [](std::size_t, double) { return 200.0; };
  Replay.MeasureFrom = 3;
  return Replay;
}

// Guards against work of parents that is lost because a later nested call is
// rejected: the calls that it made before take capacity from other parents.
TEST(AdmitRoute, ParentsRunToTheExtentThatTheirCallsFindCapacity) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ChainReplay Before = halfTheCalls(Seed);
    Before.Aware = false;
    const ReplayResult Without = Before.run(15)[0];
    EXPECT_GT(Without.Lost, Without.Requests / 3) << Seed;
    ChainReplay Replay = halfTheCalls(Seed);
    const auto With = Replay.run(15);
    EXPECT_LT(With[0].Lost, With[0].Requests * 0.1) << Seed;
    EXPECT_GT(With[0].Answered, Without.Answered) << Seed;
    // The called service bears the calls of half of the parents.
    EXPECT_GT(With[0].Answered, 0.9 * 0.5 * With[0].Requests) << Seed;
    EXPECT_EQ(With[1].Answered, With[1].Requests)
        << "a route without nested calls is shed, seed " << Seed;
  }
}

// Guards against parents that are shed long after the called service has
// recovered, and against a share so small that no recovery is seen.
TEST(AdmitRoute, RecoveryOfTheCalledServiceIsSeen) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ChainReplay Replay = halfTheCalls(Seed);
    Replay.Capacity = [](std::size_t, double Second) {
      return Second < 8 ? 20.0 : 1000.0;
    };
    Replay.MeasureFrom = 14;
    const ReplayResult After = Replay.run(18)[0];
    EXPECT_GT(After.Answered, 0.98 * After.Requests) << Seed;
  }
}

// Guards against a decision on outdated counts: nobody knows whether the calls
// still find no capacity.
TEST(AdmitRoute, NothingIsShedOnceReportsStop) {
  ChainReplay Replay = halfTheCalls(1);
  Replay.ReportsUntil = 6;
  Replay.MeasureFrom = 7;
  const ReplayResult After = Replay.run(12)[0];
  EXPECT_EQ(After.Rejections, 0);
  EXPECT_GT(After.Requests, 0);
}

// Guards against a high rank that is shed as much as a low one, and against a
// low one that gets nothing.
TEST(AdmitRoute, LowestRankIsShedFirst) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ChainReplay Replay(Seed);
    Replay.Routes = {
        {.Name = "high", .Priority = 1, .PerSecond = 100, .Calls = 2},
        {.Name = "low", .Priority = 2, .PerSecond = 100, .Calls = 2}};
    Replay.Capacity = [](std::size_t, double) { return 250.0; };
    Replay.MeasureFrom = 5;
    const auto Result = Replay.run(20);
    const auto Share = [](const ReplayResult &Of) {
      return (Of.Requests - Of.Rejections) / Of.Requests;
    };
    EXPECT_GT(Share(Result[0]), 2 * Share(Result[1])) << Seed;
    EXPECT_GT(Share(Result[0]), 0.85) << Seed;
    EXPECT_GT(Share(Result[1]),
              0.25 * (Share(Result[0]) + Share(Result[1])) / 2)
        << Seed;
  }
}

// Guards against a share that falls to its minimum because calls are rejected
// for another reason than load, which shedding cannot change.
TEST(AdmitRoute, SheddingThatDoesNotHelpIsGivenUp) {
  for (const double Rejected : {0.05, 0.1, 0.2, 0.4}) {
    double Answered[2] = {0, 0};
    for (const bool Aware : {false, true}) {
      ChainReplay Replay(1);
      Replay.Routes = {{.Name = "lookups", .PerSecond = 200, .Calls = 2}};
      Replay.Capacity = [](std::size_t, double) { return 2000.0; };
      Replay.AlwaysRejected = Rejected;
      Replay.Aware = Aware;
      Replay.MeasureFrom = 10;
      const ReplayResult Result = Replay.run(60)[0];
      Answered[Aware ? 1 : 0] = Result.Answered / Result.Requests;
    }
    EXPECT_GT(Answered[1], 0.6 * Answered[0]) << Rejected;
  }
}

// Guards against a low rank that is shed because a higher one calls another
// service that is full.
TEST(AdmitRoute, RouteThatLosesNothingIsNotShed) {
  ChainReplay Replay(1);
  Replay.Routes = {
      {.Name = "high", .Priority = 1, .PerSecond = 100, .Calls = 2},
      {.Name = "low",
       .Priority = 2,
       .PerSecond = 100,
       .Calls = 2,
       .Called = 1}};
  Replay.Capacity = [](std::size_t Called, double) {
    return Called == 0 ? 100.0 : 1000.0;
  };
  const auto Result = Replay.run(10);
  EXPECT_GT(Result[0].Rejections, 0);
  EXPECT_EQ(Result[1].Rejections, 0);
}

// Guards against callers that come back at once and often, and get the places
// of those that wait as asked.
TEST(AdmitRoute, CallersThatReturnAtOnceGainNothing) {
  double Asked = 0;
  double AtOnce = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ChainReplay Replay(Seed);
    Replay.Routes = {{.Name = "asked",
                      .PerSecond = 100,
                      .Calls = 2,
                      .Returns = Return::AsAsked},
                     {.Name = "at once",
                      .PerSecond = 100,
                      .Calls = 2,
                      .Returns = Return::AtOnce}};
    Replay.Capacity = [](std::size_t, double) { return 200.0; };
    Replay.MeasureFrom = 5;
    const auto Result = Replay.run(20);
    Asked += Result[0].Answered / Result[0].Requests / Seeds;
    AtOnce += Result[1].Answered / Result[1].Requests / Seeds;
    EXPECT_GT(Result[0].Returned, 0) << Seed;
  }
  EXPECT_LT(AtOnce, 1.1 * Asked);
}

// Route whose runs all lose a call, as the only report says.
RouteAdmissionState losing(TimePoint Now) {
  RouteAdmissionState State;
  (void)admitRoute(State, {.Route = "r"}, Now);
  for (int Round = 0; Round < 20; ++Round) {
    Now += milliseconds(200);
    onRouteCounts(State, "r", 1, {.Runs = 20, .Losses = 20}, Now);
    (void)admitRoute(State, {.Route = "r"}, Now);
  }
  return State;
}

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr TimePoint AfterLosses = Start + milliseconds(4000);

// Guards against a nested call that is rejected at the entry node: its parent
// is running, and its work would be lost.
TEST(AdmitRoute, NestedCallsAreNeverShed) {
  RouteAdmissionState State = losing(Start);
  int Shed = 0;
  for (int I = 0; I < 100; ++I) {
    EXPECT_TRUE(admitRoute(State, {.Route = "r", .Nested = true}, AfterLosses)
                    .Admitted);
    Shed += admitRoute(State, {.Route = "r"}, AfterLosses).Admitted ? 0 : 1;
  }
  EXPECT_GT(Shed, 85);
  EXPECT_LT(Shed, 100);
}

// Guards against a decision whose reason the log cannot state.
TEST(AdmitRoute, DecisionNamesItsInputs) {
  RouteAdmissionState State = losing(Start);
  const RouteDecision Decision =
      admitRoute(State, {.Route = "r"}, AfterLosses + milliseconds(300));
  EXPECT_EQ(Decision.Evidence.Runs, 20);
  EXPECT_EQ(Decision.Evidence.Losses, 20);
  EXPECT_EQ(Decision.Evidence.Age, milliseconds(300));
  EXPECT_LT(Decision.Share, 0.2);
  // The weight of the report has fallen to a half.
  EXPECT_GT(
      admitRoute(State, {.Route = "r"}, AfterLosses + milliseconds(750)).Share,
      0.5);
}

// Guards against memory that grows with routes, sidecars or rejected callers.
TEST(AdmitRoute, StateIsBounded) {
  RouteAdmissionState State = losing(Start);
  RandomEngine Random(1);
  for (std::uint64_t I = 0; I < 1000; ++I) {
    const std::string Name = std::string("r").append(std::to_string(I));
    EXPECT_TRUE(admitRoute(State, {.Route = Name}, AfterLosses).Admitted);
    onRouteCounts(State, "r", I, {.Runs = 20, .Losses = 20}, AfterLosses);
    (void)planReturn(
        State,
        {.Route = "r",
         .CallerDeadline = AfterLosses + milliseconds(2500 + 40 * I)},
        ErrorKind::Overloaded, AfterLosses, Random);
  }
  EXPECT_EQ(State.Routes.size(), RouteAdmissionState::MaxRoutes);
  EXPECT_GT(State.Untracked, 0U);
  const AdmittedRoute &Route = State.Routes.at({"r", 0});
  EXPECT_EQ(Route.Reports.size(), AdmittedRoute::MaxReports);
  EXPECT_EQ(Route.Promises.size(), AdmittedRoute::MaxPromises);
}

} // namespace
} // namespace magnolia::policy
