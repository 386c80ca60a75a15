#include "policy/retry/plan_next.h"

#include <algorithm>

namespace magnolia::policy {

ErrorKind kindForCaller(const AttemptState &State, ErrorKind Kind) {
  if (!State.MayHaveRun || errorEntry(Kind).Run != RunOutcome::No) {
    return Kind;
  }
  return Kind == ErrorKind::DeadlineExceededNotRun
             ? ErrorKind::DeadlineExceededUnknown
             : ErrorKind::OutcomeUnknown;
}

namespace {

// A response later than this many medians is in the slowest percent of an
// exponential distribution.
constexpr int HedgeFactor = 7;
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(2);

void refill(RetryBudget &Budget, TimePoint Now) {
  if (Budget.FilledAt == TimePoint{}) {
    Budget.Tokens = Budget.Options.Cap;
    Budget.FilledAt = Now;
    return;
  }
  if (Now > Budget.FilledAt) {
    const double Elapsed =
        std::chrono::duration<double>(Now - Budget.FilledAt).count();
    Budget.Tokens =
        std::min(Budget.Options.Cap,
                 Budget.Tokens + Budget.Options.FloorPerSecond * Elapsed);
    Budget.FilledAt = Now;
  }
}

bool takeToken(RetryBudget &Budget, TimePoint Now) {
  refill(Budget, Now);
  if (Budget.Tokens < 1) {
    ++Budget.Refused;
    return false;
  }
  Budget.Tokens -= 1;
  return true;
}

// Returns true if another attempt is permitted, apart from the tokens of the
// budget. An attempt without a result counts as a run, because it may be one.
bool isAttemptAllowed(const AttemptState &State, const RetryBudget &Budget,
                      TimePoint Now) {
  return !State.RetriesExhausted &&
         (State.MaxRuns == 0 || State.Runs + State.Open < State.MaxRuns) &&
         State.Attempts < Budget.Options.MaxAttempts &&
         State.Deadline - Now >= Budget.Options.MinRemaining;
}

// Returns true if the outcome proves that the attempt has not run and never
// will.
bool provesNotRun(const Outcome &Result) {
  switch (Result.Event) {
  case OutcomeEvent::Rejected:
    return errorEntry(Result.Kind).Retryable;
  case OutcomeEvent::FenceNeverRun:
    return true;
  case OutcomeEvent::Lost:
  case OutcomeEvent::Slow:
  case OutcomeEvent::FenceStarted:
  case OutcomeEvent::FenceSilent:
    return false;
  }
  return false;
}

// Returns true if the attempt ran or may have run. For a lost attempt of a
// non-idempotent request, the result of its fence decides.
bool mayHaveRun(const Outcome &Result) {
  switch (Result.Event) {
  case OutcomeEvent::Rejected:
    return errorEntry(Result.Kind).Run != RunOutcome::No;
  case OutcomeEvent::Lost:
  case OutcomeEvent::FenceStarted:
  case OutcomeEvent::FenceSilent:
    return true;
  case OutcomeEvent::Slow:
  case OutcomeEvent::FenceNeverRun:
    return false;
  }
  return true;
}

// Returns true if an idempotent request may succeed on another candidate even
// if this attempt may have run. Other errors would occur again.
bool maySucceedElsewhere(const Outcome &Result) {
  return Result.Event != OutcomeEvent::Rejected ||
         Result.Kind == ErrorKind::BackendBrokenAnswer ||
         Result.Kind == ErrorKind::OutcomeUnknown;
}

ErrorKind giveUpKind(const AttemptState &State, const Outcome &Result,
                     TimePoint Now) {
  const bool DeadlinePassed = Now >= State.Deadline;
  switch (Result.Event) {
  case OutcomeEvent::Rejected:
    return Result.Kind;
  case OutcomeEvent::FenceNeverRun:
    return DeadlinePassed ? ErrorKind::DeadlineExceededNotRun
                          : ErrorKind::Fenced;
  case OutcomeEvent::Lost:
  case OutcomeEvent::Slow:
  case OutcomeEvent::FenceStarted:
  case OutcomeEvent::FenceSilent:
    return DeadlinePassed ? ErrorKind::DeadlineExceededUnknown
                          : ErrorKind::OutcomeUnknown;
  }
  return ErrorKind::OutcomeUnknown;
}

RetryDecision giveUp(const AttemptState &State, const Outcome &Result,
                     TimePoint Now) {
  if (State.Open > 0) {
    return {.Action = RetryAction::KeepWaiting};
  }
  return {.Action = RetryAction::GiveUp,
          .Kind = kindForCaller(State, giveUpKind(State, Result, Now)),
          .RetriesExhausted = true};
}

RetryDecision planHedge(const AttemptState &State, RetryBudget &Budget,
                        TimePoint Now) {
  if (State.Idempotent && State.Open == 1 &&
      isAttemptAllowed(State, Budget, Now) && takeToken(Budget, Now)) {
    ++Budget.Hedges;
    return {.Action = RetryAction::Hedge};
  }
  return {.Action = RetryAction::KeepWaiting};
}

} // namespace

void recordRequest(RetryBudget &Budget, TimePoint Now) {
  refill(Budget, Now);
  ++Budget.Requests;
  Budget.Tokens =
      std::min(Budget.Options.Cap, Budget.Tokens + Budget.Options.Ratio);
}

std::optional<ErrorKind> checkFirst(const AttemptState &State, TimePoint Now) {
  if (State.Hops > MaxHops) {
    return ErrorKind::TooManyHops;
  }
  if (Now >= State.Deadline) {
    return ErrorKind::DeadlineExceededNotRun;
  }
  return std::nullopt;
}

TimePoint connectDeadline(const AttemptState &State, TimePoint Now) {
  // Leaves time for two more attempts.
  constexpr double ConnectShare = 0.3;
  constexpr Duration MinConnectTime = std::chrono::milliseconds(100);
  const auto Left = static_cast<double>((State.Deadline - Now).count());
  const Duration Share(static_cast<Duration::rep>(Left * ConnectShare));
  return std::min(State.Deadline, Now + std::max(Share, MinConnectTime));
}

void onAttempt(AttemptState &State) {
  ++State.Attempts;
  ++State.Open;
}

void onAttemptEnd(AttemptState &State) { State.Open -= State.Open > 0 ? 1 : 0; }

RetryDecision planNext(AttemptState &State, const Outcome &Result,
                       RetryBudget &Budget, TimePoint Now) {
  if (Result.Event == OutcomeEvent::Slow) {
    return planHedge(State, Budget, Now);
  }
  const bool ProvenNotRun = provesNotRun(Result);
  if (Result.Event == OutcomeEvent::Lost && !State.Idempotent) {
    return {.Action = RetryAction::Fence};
  }
  State.MayHaveRun |= mayHaveRun(Result);
  const bool MayRetry =
      ProvenNotRun || (State.Idempotent && maySucceedElsewhere(Result));
  State.Runs += Result.Reached || mayHaveRun(Result) ? 1 : 0;
  const bool NotCharged = State.LimitedBySidecars ||
                          (Budget.Options.FreeRejections && State.Runs == 0);
  if (MayRetry && !Result.RetriesExhausted && State.Open == 0 &&
      isAttemptAllowed(State, Budget, Now) &&
      (NotCharged || takeToken(Budget, Now))) {
    ++Budget.Retries;
    return {.Action = RetryAction::RetryElsewhere};
  }
  return giveUp(State, Result, Now);
}

Duration hedgeDelay(Duration Median) {
  return std::max(Median * HedgeFactor, MinHedgeDelay);
}

} // namespace magnolia::policy
