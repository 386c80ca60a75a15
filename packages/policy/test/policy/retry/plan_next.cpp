#include "policy/retry/plan_next.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1)};

struct RetryCase {
  const char *Guards;
  bool Idempotent;
  std::uint32_t Attempts;
  std::uint32_t Open;
  bool Exhausted;
  milliseconds Left;
  double Tokens;
  Outcome Result;
  RetryAction Action;
  ErrorKind Kind;
};

constexpr auto Rejected = OutcomeEvent::Rejected;
constexpr auto None = ErrorKind::Internal;

const RetryCase Cases[] = {
    {"a proven rejection that isn't retried",
     false,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {Rejected, ErrorKind::ColdStart},
     RetryAction::RetryElsewhere,
     None},
    {"a second run after a broken response",
     false,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {Rejected, ErrorKind::BackendBrokenAnswer},
     RetryAction::GiveUp,
     ErrorKind::BackendBrokenAnswer},
    {"an idempotent request not retried after a broken response",
     true,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {Rejected, ErrorKind::BackendBrokenAnswer},
     RetryAction::RetryElsewhere,
     None},
    {"a malformed request sent again",
     true,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {Rejected, ErrorKind::BadRequest},
     RetryAction::GiveUp,
     ErrorKind::BadRequest},
    {"a second run without a fence",
     false,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {OutcomeEvent::Lost, None},
     RetryAction::Fence,
     None},
    {"a needless fence of an idempotent request",
     true,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {OutcomeEvent::Lost, None},
     RetryAction::RetryElsewhere,
     None},
    {"a fenced request that is never sent again",
     false,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {OutcomeEvent::FenceNeverRun, None},
     RetryAction::RetryElsewhere,
     None},
    {"a second run after a late fence",
     false,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {OutcomeEvent::FenceStarted, None},
     RetryAction::GiveUp,
     ErrorKind::OutcomeUnknown},
    {"a second run after a fence without a response",
     false,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {OutcomeEvent::FenceSilent, None},
     RetryAction::GiveUp,
     ErrorKind::OutcomeUnknown},
    {"a false 'not run' after the deadline",
     false,
     1,
     0,
     false,
     milliseconds(0),
     5,
     {OutcomeEvent::FenceSilent, None},
     RetryAction::GiveUp,
     ErrorKind::DeadlineExceededUnknown},
    {"a retry without time left",
     false,
     1,
     0,
     false,
     milliseconds(1),
     5,
     {Rejected, ErrorKind::Overloaded},
     RetryAction::GiveUp,
     ErrorKind::Overloaded},
    {"a retry storm over the budget",
     false,
     1,
     0,
     false,
     milliseconds(100),
     0,
     {Rejected, ErrorKind::Overloaded},
     RetryAction::GiveUp,
     ErrorKind::Overloaded},
    {"endless attempts of one request",
     false,
     3,
     0,
     false,
     milliseconds(100),
     5,
     {Rejected, ErrorKind::Overloaded},
     RetryAction::GiveUp,
     ErrorKind::Overloaded},
    {"retries by two layers of a call chain",
     true,
     1,
     0,
     true,
     milliseconds(100),
     5,
     {Rejected, ErrorKind::Overloaded},
     RetryAction::GiveUp,
     ErrorKind::Overloaded},
    {"a retry after a response marked as exhausted",
     true,
     1,
     0,
     false,
     milliseconds(100),
     5,
     {Rejected, ErrorKind::Overloaded, true},
     RetryAction::GiveUp,
     ErrorKind::Overloaded},
    {"a slow idempotent request without a hedge",
     true,
     1,
     1,
     false,
     milliseconds(100),
     5,
     {OutcomeEvent::Slow, None},
     RetryAction::Hedge,
     None},
    {"a second run by a hedge",
     false,
     1,
     1,
     false,
     milliseconds(100),
     5,
     {OutcomeEvent::Slow, None},
     RetryAction::KeepWaiting,
     None},
    {"hedges over the budget",
     true,
     1,
     1,
     false,
     milliseconds(100),
     0,
     {OutcomeEvent::Slow, None},
     RetryAction::KeepWaiting,
     None},
    {"an error while a hedge may still succeed",
     true,
     2,
     1,
     false,
     milliseconds(100),
     5,
     {Rejected, ErrorKind::Overloaded},
     RetryAction::KeepWaiting,
     None},
};

TEST(PlanNext, Faults) {
  for (const RetryCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    AttemptState State{.Idempotent = Row.Idempotent,
                       .Attempts = Row.Attempts,
                       .Open = Row.Open,
                       .Deadline = Start + Row.Left,
                       .RetriesExhausted = Row.Exhausted};
    RetryBudget Budget;
    Budget.Tokens = Row.Tokens;
    Budget.FilledAt = Start;
    const RetryDecision Next = planNext(State, Row.Result, Budget, Start);
    EXPECT_EQ(Next.Action, Row.Action);
    if (Row.Action == RetryAction::GiveUp) {
      EXPECT_EQ(Next.Kind, Row.Kind);
      EXPECT_TRUE(Next.RetriesExhausted);
    }
  }
}

// Guards against more retries than the ratio and the floor of the budget
// permit.
TEST(PlanNext, RetriesStayWithinBudget) {
  RetryBudget Budget;
  AttemptState State{.Attempts = 1, .Deadline = TimePoint::max()};
  TimePoint Now = Start;
  for (int I = 0; I < 10'000; ++I) {
    Now += milliseconds(1);
    recordRequest(Budget, Now);
    (void)planNext(State, {Rejected, ErrorKind::Overloaded}, Budget, Now);
  }
  const RetryOptions &Options = Budget.Options;
  EXPECT_LE(static_cast<double>(Budget.Retries),
            Options.Cap + 10'000 * Options.Ratio + 10 * Options.FloorPerSecond);
  EXPECT_EQ(Budget.Retries + Budget.Refused, 10'000U);
}

// Guards against endless call chains and against requests sent after their
// deadline.
TEST(PlanNext, CheckFirst) {
  AttemptState State{.Hops = MaxHops, .Deadline = Start + milliseconds(1)};
  EXPECT_EQ(checkFirst(State, Start), std::nullopt);
  State.Hops = MaxHops + 1;
  EXPECT_EQ(checkFirst(State, Start), ErrorKind::TooManyHops);
  State.Hops = 1;
  EXPECT_EQ(checkFirst(State, State.Deadline),
            ErrorKind::DeadlineExceededNotRun);
}

// Guards against a false "not run": the last attempt was rejected, but an
// earlier one was lost and may have run.
TEST(PlanNext, StatesNotRunOnlyIfNoAttemptMayHaveRun) {
  RetryBudget Budget;
  recordRequest(Budget, Start);
  AttemptState State{.Idempotent = true, .Deadline = Start + milliseconds(100)};
  onAttempt(State);
  onAttemptEnd(State);
  ASSERT_EQ(planNext(State, {OutcomeEvent::Lost}, Budget, Start).Action,
            RetryAction::RetryElsewhere);
  onAttempt(State);
  onAttemptEnd(State);
  State.RetriesExhausted = true;
  const RetryDecision Last =
      planNext(State, {Rejected, ErrorKind::Overloaded}, Budget, Start);
  EXPECT_EQ(Last.Action, RetryAction::GiveUp);
  EXPECT_NE(errorEntry(Last.Kind).Run, RunOutcome::No);
}

// Guards against a hedge that makes a request run on more backend servers than
// its route allows: the first attempt, which has no response yet, may have run.
TEST(PlanNext, HedgeCountsTheOpenAttemptAsARun) {
  const RetryBudget Full{.Tokens = 5, .FilledAt = Start};
  const auto HedgeAction = [&Full](std::uint32_t MaxRuns, std::uint32_t Runs) {
    RetryBudget Budget = Full;
    AttemptState State{.Idempotent = true,
                       .Attempts = Runs + 1,
                       .Runs = Runs,
                       .MaxRuns = MaxRuns,
                       .Open = 1,
                       .Deadline = Start + milliseconds(500)};
    return planNext(State, {.Event = OutcomeEvent::Slow}, Budget, Start).Action;
  };
  EXPECT_EQ(HedgeAction(1, 0), RetryAction::KeepWaiting);
  EXPECT_EQ(HedgeAction(2, 1), RetryAction::KeepWaiting);
  EXPECT_EQ(HedgeAction(2, 0), RetryAction::Hedge);
  EXPECT_EQ(HedgeAction(0, 1), RetryAction::Hedge);
}

// Guards against a nested call with a short deadline that spends its time on
// connections to servers whose links are full.
TEST(PlanNext, TwoFailedConnectionsLeaveTimeForAThirdServer) {
  AttemptState State;
  const TimePoint Start{std::chrono::seconds(1)};
  State.Deadline = Start + std::chrono::milliseconds(400);
  const TimePoint Second = connectDeadline(State, Start);
  const TimePoint Third = connectDeadline(State, Second);
  EXPECT_EQ(Second, Start + std::chrono::milliseconds(120));
  // The work of a nested call takes 40 ms, and four times as long at a server
  // that is slow for a moment.
  EXPECT_GT(State.Deadline - Third, std::chrono::milliseconds(160));
}

// Guards against a deadline of a few milliseconds by which a connection to a
// healthy sidecar counts as failed.
TEST(PlanNext, ShortDeadlineDoesNotShortenAConnection) {
  AttemptState State;
  const TimePoint Start{std::chrono::seconds(1)};
  State.Deadline = Start + std::chrono::milliseconds(20);
  EXPECT_EQ(connectDeadline(State, Start), State.Deadline);
}

} // namespace
} // namespace magnolia::policy
