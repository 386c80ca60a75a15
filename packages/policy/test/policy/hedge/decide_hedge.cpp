#include "policy/hedge/decide_hedge.h"

#include "policy/hedge/copy_action.h"
#include "policy/retry/plan_next.h"
#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A request at server 1 whose delay has passed, and server 2, which is free.
struct Case {
  Case() {
    updateCandidates(Servers, Specs, Now);
    // The response times count once their slice is over.
    for (int I = 0; I < 100; ++I) {
      recordHedgeTime(State, "/", milliseconds(100), true, Now);
    }
    Now += 2 * ResponseTimes::SliceLength;
    onReport(Servers, 2, Free, Now);
    Request.Idempotent = true;
    Request.Deadline = Now + seconds(2);
    Budget.Options = {.Cap = 10};
    onAttempt(Request);
  }

  HedgeDecision decide() {
    return decideHedge(State, Servers, Request, Budget, Query, Now, Random);
  }

  const LoadReport Free{.InFlight = 3, .Limit = 10};
  TimePoint Now{seconds(100)};
  std::vector<CandidateSpec> Specs{{.Node = 1, .Run = 1, .Version = 1},
                                   {.Node = 2, .Run = 1, .Version = 2}};
  RouteState Servers;
  HedgeState State;
  AttemptState Request;
  RetryBudget Budget;
  std::vector<NodeId> Tried{1};
  std::vector<std::uint32_t> Versions;
  HedgeQuery Query{.Route = "/", .Tried = Tried};
  RandomEngine Random{1};
};

TEST(DecideHedge, SendsToTheFreeServer) {
  Case Test;
  const HedgeDecision Decision = Test.decide();
  EXPECT_EQ(Decision.Refusal, HedgeRefusal::None);
  EXPECT_EQ(Decision.Target, 2U);
  EXPECT_EQ(Decision.Room, 5U);
  EXPECT_EQ(Test.Budget.Hedges, 1U);
}

struct RefusalRow {
  const char *Failure;
  HedgeRefusal Expected;
  void (*Change)(Case &);
};

TEST(DecideHedge, RefusalTable) {
  const RefusalRow Rows[] = {
      {"a non-idempotent request that runs twice", HedgeRefusal::NotIdempotent,
       [](Case &C) { C.Request.Idempotent = false; }},
      {"a copy that the end of the node cuts", HedgeRefusal::Stopping,
       [](Case &C) { C.Query.Stopping = true; }},
      {"a copy that is answered after the deadline", HedgeRefusal::NoTimeLeft,
       [](Case &C) { C.Request.Deadline = C.Now + milliseconds(90); }},
      {"a copy of a route without known response times",
       HedgeRefusal::NoTimeLeft, [](Case &C) { C.Query.Route = "/new"; }},
      {"load on a service that is slow as a whole", HedgeRefusal::ServiceSlow,
       [](Case &C) {
         C.State.Limit.Credit = 0;
         (void)C.decide();
         (void)C.decide();
         C.State.Limit.Credit = HedgeLimit::HedgeCost;
       }},
      {"a service with little free capacity", HedgeRefusal::ServiceBusy,
       [](Case &C) {
         onReport(C.Servers, 2, {.InFlight = 9, .Limit = 10}, C.Now);
       }},
      {"a queue at the second server", HedgeRefusal::NoRoom,
       [](Case &C) {
         onReport(C.Servers, 1, {.InFlight = 0, .Limit = 10}, C.Now);
         onReport(C.Servers, 2, {.InFlight = 8, .Limit = 10}, C.Now);
       }},
      {"slots that this node has filled since the report", HedgeRefusal::NoRoom,
       [](Case &C) {
         onReport(C.Servers, 1, {.InFlight = 0, .Limit = 10}, C.Now);
         for (int I = 0; I < 5; ++I) {
           (void)onDispatch(C.Servers, 2, C.Now);
         }
       }},
      {"a decision by an outdated report", HedgeRefusal::NoRoom,
       [](Case &C) { C.Now += MaxHedgeReportAge + milliseconds(1); }},
      {"a cold server", HedgeRefusal::NoRoom,
       [](Case &C) {
         onReport(C.Servers, 2, {.Limit = 10, .ColdStart = true}, C.Now);
       }},
      {"a restarted server", HedgeRefusal::NoRoom,
       [](Case &C) {
         onReport(C.Servers, 2, {.Limit = 10, .Run = 1}, C.Now);
         onReport(C.Servers, 2, {.Limit = 10, .Run = 2}, C.Now);
       }},
      {"a draining server", HedgeRefusal::NoRoom,
       [](Case &C) {
         onReport(C.Servers, 2, {.Limit = 10, .Draining = true}, C.Now);
       }},
      {"a zone out of service", HedgeRefusal::NoRoom,
       [](Case &C) {
         C.Specs[1].ZoneOut = true;
         updateCandidates(C.Servers, C.Specs, C.Now);
       }},
      {"the new version of a rollout", HedgeRefusal::NoRoom,
       [](Case &C) {
         C.Versions = {1};
         C.Query.Versions = C.Versions;
       }},
      {"an ejected server", HedgeRefusal::NoRoom,
       [](Case &C) {
         C.Servers.Candidates[1].Health.Phase = HealthPhase::Ejected;
       }},
      {"two copies at one server", HedgeRefusal::NoRoom,
       [](Case &C) {
         C.Tried.push_back(2);
         C.Query.Tried = C.Tried;
       }},
      {"more hedges than the limit", HedgeRefusal::Limit,
       [](Case &C) { (void)C.decide(); }},
      {"more servers than max_attempts", HedgeRefusal::Attempts,
       [](Case &C) { C.Request.MaxRuns = 1; }},
      {"an exhausted retry budget", HedgeRefusal::Attempts,
       [](Case &C) {
         C.Budget.FilledAt = C.Now;
         C.Budget.Tokens = 0;
       }},
  };
  for (const RefusalRow &Row : Rows) {
    Case Test;
    Row.Change(Test);
    EXPECT_EQ(toString(Test.decide().Refusal), toString(Row.Expected))
        << Row.Failure;
  }
}

// Guards against a window whose requests do not pay for its hedges, because an
// earlier burst of requests did.
TEST(DecideHedge, LimitHoldsWhenTrafficEnds) {
  Case Test;
  for (int I = 0; I < 1000; ++I) {
    recordHedgeTime(Test.State, "/", milliseconds(100), true, Test.Now);
    recordHedgeRequest(Test.State, 20);
  }
  EXPECT_EQ(Test.decide().Refusal, HedgeRefusal::None);
  EXPECT_EQ(Test.decide().Refusal, HedgeRefusal::Limit);
  for (int I = 0; I < 5; ++I) {
    EXPECT_EQ(Test.decide().Refusal, HedgeRefusal::Limit);
    recordHedgeRequest(Test.State, 20);
  }
  EXPECT_EQ(Test.decide().Refusal, HedgeRefusal::None);
}

TEST(HedgeDelay, FollowsTheQuantileOfTheRoute) {
  Case Test;
  const HedgeOptions Options{.Percent = 5};
  const auto Usual = hedgeDelay(Test.State, "/", Options, Test.Now);
  ASSERT_TRUE(Usual);
  EXPECT_GE(*Usual, milliseconds(100));
  EXPECT_LT(*Usual, milliseconds(115));
  EXPECT_EQ(hedgeDelay(Test.State, "/other", Options, Test.Now), std::nullopt);
  EXPECT_EQ(
      hedgeDelay(Test.State, "/", {.Percent = 5, .MinDelayMs = 400}, Test.Now),
      milliseconds(400));
}

// Guards against state that grows with the number of paths.
TEST(HedgeDelay, RoutesAreBounded) {
  Case Test;
  for (std::size_t I = 0; I < 2 * HedgeState::MaxRoutes; ++I) {
    recordHedgeTime(Test.State, std::to_string(I), milliseconds(1), true,
                    Test.Now);
  }
  EXPECT_EQ(Test.State.Routes.size(), HedgeState::MaxRoutes);
  EXPECT_EQ(Test.State.RoutesRefused, HedgeState::MaxRoutes + 1);
}

// Guards against a server error that ends the request while the other copy may
// still succeed, and against a response that is held although no copy is open.
TEST(CopyAction, ServerErrorWaitsForTheOpenCopy) {
  EXPECT_EQ(onCopyResponse(true, true, 1), CopyAction::Hold);
  EXPECT_EQ(onCopyResponse(true, true, 0), CopyAction::Answer);
  EXPECT_EQ(onCopyResponse(true, false, 1), CopyAction::Answer);
  EXPECT_EQ(onCopyResponse(false, true, 1), CopyAction::Answer);
}

} // namespace
} // namespace magnolia::policy
