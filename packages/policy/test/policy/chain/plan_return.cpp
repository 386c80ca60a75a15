#include "policy/chain/plan_return.h"

#include "policy/chain/admit_route.h"
#include "policy/overload/return_delay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr Duration Patience = milliseconds(2400);

// A route with 20 requests per second of which a tenth is admitted.
struct PlanReturn : testing::Test {
  PlanReturn() {
    AdmittedRoute &Route = State.Routes[{"r", 0}];
    Route.Rate = 20;
    Route.LastRequest = Route.Stepped = Start;
    Route.Share = Route.LaggedShare = 0.1;
    Route.Reports = {
        {.Node = 1, .Counts = {.Runs = 20, .Losses = 2}, .At = Start}};
  }

  AdmittedRoute &route() { return State.Routes.at({"r", 0}); }

  RouteArrival arrival(TimePoint Deadline) {
    return {.Route = "r", .CallerDeadline = Deadline};
  }

  Duration plan(TimePoint Deadline, TimePoint Now) {
    return planReturn(State, arrival(Deadline), ErrorKind::Overloaded, Now,
                      Random);
  }

  RouteAdmissionState State;
  RandomEngine Random{1};
};

// Guards against callers that are all asked to return at the same moment, and
// against a delay that a caller does not wait for.
TEST_F(PlanReturn, ReturnsAreSpreadOverFreeCapacity) {
  route().Share = 0.5;
  std::vector<Duration> Delays;
  for (int Caller = 0; Caller < 40; ++Caller) {
    Delays.push_back(plan(Start + Patience + milliseconds(40 * Caller), Start));
    EXPECT_LE(Delays.back(), (Patience + milliseconds(40 * Caller)) / 3);
    EXPECT_GE(Delays.back(), milliseconds(60));
  }
  // Five places a second are kept for returned callers.
  std::size_t Kept = 0;
  for (const ReturnPromise &Next : route().Promises) {
    Kept += Next.Kept ? 1 : 0;
  }
  EXPECT_GE(Kept, 3U);
  EXPECT_LE(Kept, 6U);
  std::sort(Delays.begin(), Delays.end());
  EXPECT_GT(Delays.back() - Delays.front(), milliseconds(300));
  for (std::size_t I = 5; I < Delays.size(); ++I) {
    EXPECT_GT(Delays[I] - Delays[I - 5], milliseconds(1));
  }
}

// Guards against a caller that returns as asked and is rejected again while a
// new one is admitted.
TEST_F(PlanReturn, CallerThatReturnsAsAskedGoesFirst) {
  const TimePoint Deadline = Start + Patience;
  const TimePoint Due = Start + plan(Deadline, Start);
  const RouteDecision New = admitRoute(State, arrival(Due + Patience), Due);
  EXPECT_FALSE(New.Admitted);
  const RouteDecision Back = admitRoute(State, arrival(Deadline), Due);
  EXPECT_TRUE(Back.Admitted);
  EXPECT_TRUE(Back.Returned);
  EXPECT_FALSE(admitRoute(State, arrival(Deadline), Due).Returned)
      << "the place is taken twice";
}

// Guards against a caller that gets more chances by not waiting.
TEST_F(PlanReturn, EarlyReturnIsRejectedAndKeepsItsMoment) {
  const TimePoint Deadline = Start + Patience;
  const TimePoint Due = Start + plan(Deadline, Start);
  route().Credit = 1;
  const TimePoint Early = Start + milliseconds(25);
  EXPECT_FALSE(admitRoute(State, arrival(Deadline), Early).Admitted);
  EXPECT_EQ(Early + plan(Deadline, Early), Due);
  EXPECT_EQ(route().Promises.size(), 1U);
  EXPECT_TRUE(admitRoute(State, arrival(Early + Patience), Early).Admitted);
}

// Guards against a promise that stays after its moment.
TEST_F(PlanReturn, PromisesExpire) {
  const TimePoint Deadline = Start + Patience;
  const TimePoint Due = Start + plan(Deadline, Start);
  const TimePoint Late = Due + milliseconds(200);
  EXPECT_EQ(takePlace(route(), Deadline, Late), ReturnStatus::New);
  EXPECT_TRUE(route().Promises.empty());
}

// Guards against a deployment without the switch that is served differently:
// no request is shed, no delay changes, and no state is kept.
TEST_F(PlanReturn, SwitchedOffDecidesAsBefore) {
  std::uniform_real_distribution<double> Fraction(0, 1);
  for (int Round = 0; Round < 2000; ++Round) {
    AdmittedRoute &Route = route();
    const TimePoint Now = Start + milliseconds(Random() % 2000);
    Route.Share = Route.LaggedShare = Fraction(Random);
    Route.Rate = 100 * Fraction(Random);
    Route.Credit = Fraction(Random) - 0.5;
    const auto Runs = static_cast<std::uint32_t>(Random() % 20);
    Route.Reports = {{.Node = 1,
                      .Counts = {.Runs = Runs, .Losses = Runs / 2},
                      .At = Now - milliseconds(Random() % 1500)}};
    Route.Promises = {{.Made = Start, .Due = Now, .CallerDeadline = Now}};
    const double Credit = Route.Credit;
    RouteArrival Off = arrival(Now + milliseconds(Random() % 3000));
    Off.Aware = false;
    EXPECT_TRUE(admitRoute(State, Off, Now).Admitted);
    const auto Kind = static_cast<ErrorKind>(Random() % ErrorKindCount);
    RandomEngine Same = Random;
    EXPECT_EQ(planReturn(State, Off, Kind, Now, Random),
              returnDelay(Kind, Same));
    EXPECT_EQ(Random, Same);
    EXPECT_EQ(Route.Credit, Credit);
    EXPECT_EQ(Route.Promises.size(), 1U);
  }
}

// Guards against a nested call or an unknown route that changes the schedule of
// the callers.
TEST_F(PlanReturn, OtherRejectionsKeepTheirDelay) {
  RouteArrival Nested = arrival(Start + Patience);
  Nested.Nested = true;
  const RouteArrival Unknown{.Route = "u", .CallerDeadline = Start + Patience};
  for (const RouteArrival &Next : {Nested, Unknown}) {
    const Duration Delay =
        planReturn(State, Next, ErrorKind::Overloaded, Start, Random);
    EXPECT_LE(Delay, milliseconds(240));
    EXPECT_GE(Delay, milliseconds(60));
  }
  EXPECT_TRUE(route().Promises.empty());
}

} // namespace
} // namespace magnolia::policy
