#ifndef POLICY_RETRY_PLAN_NEXT_H
#define POLICY_RETRY_PLAN_NEXT_H

#include "policy/retry/attempt_state.h"
#include "policy/retry/outcome.h"
#include "policy/retry/retry_budget.h"
#include "policy/retry/retry_decision.h"

#include <optional>

namespace magnolia::policy {

// Longest call chain; a longer one is taken for a loop.
inline constexpr std::uint32_t MaxHops = 17;

// Counts a request of a caller, which adds Ratio to the budget.
void recordRequest(RetryBudget &Budget, TimePoint Now);

// Error of a request that must not be sent at all: TooManyHops or
// DeadlineExceededNotRun.
[[nodiscard]] std::optional<ErrorKind> checkFirst(const AttemptState &State,
                                                  TimePoint Now);

// Counts an attempt as sent and as ended.
void onAttempt(AttemptState &State);
void onAttemptEnd(AttemptState &State);

// Decides what follows the outcome of an attempt, and charges the budget for a
// retry or hedge. Call onAttemptEnd first unless the outcome is Slow or the
// decision is still owed to a fence. A non-idempotent request is sent again
// only after a proof that it did not run. The kind of a GiveUp states "not run"
// only where this holds for every attempt.
[[nodiscard]] RetryDecision planNext(AttemptState &State, const Outcome &Result,
                                     RetryBudget &Budget, TimePoint Now);

// Time to wait for a response before a hedge, from the median latency of the
// service.
[[nodiscard]] Duration hedgeDelay(Duration Median);

} // namespace magnolia::policy

#endif
