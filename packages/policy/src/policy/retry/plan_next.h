#ifndef POLICY_RETRY_PLAN_NEXT_H
#define POLICY_RETRY_PLAN_NEXT_H

#include "policy/retry/attempt_state.h"
#include "policy/retry/outcome.h"
#include "policy/retry/retry_budget.h"
#include "policy/retry/retry_decision.h"

#include <optional>

namespace magnolia::policy {

// Maximum length of a call chain; a longer one is treated as a loop.
inline constexpr std::uint32_t MaxHops = 17;

// Counts a request of a caller and adds Ratio to the budget.
void recordRequest(RetryBudget &Budget, TimePoint Now);

// Checks a request before its first attempt. Returns TooManyHops or
// DeadlineExceededNotRun if it must not be sent.
[[nodiscard]] std::optional<ErrorKind> checkFirst(const AttemptState &State,
                                                  TimePoint Now);

// Returns the time by which a new connection to a sidecar must be established.
// It uses a share of the time left, so that a call with a short deadline has
// time for another sidecar after a failure, but at least 100 ms if the deadline
// permits: less would fail connections to sidecars that are only busy.
[[nodiscard]] TimePoint connectDeadline(const AttemptState &State,
                                        TimePoint Now);

// Count the start and the end of an attempt.
void onAttempt(AttemptState &State);
void onAttemptEnd(AttemptState &State);

// Decides how to proceed after the outcome of an attempt, and charges the
// budget for a retry or hedge. The caller calls onAttemptEnd first, unless the
// outcome is Slow or the result of a fence. A non-idempotent request is sent
// again only after proof that it did not run. The kind of a GiveUp states "not
// run" only if this holds for every attempt.
[[nodiscard]] RetryDecision planNext(AttemptState &State, const Outcome &Result,
                                     RetryBudget &Budget, TimePoint Now);

// Returns the kind for the caller: if an earlier attempt may have run, a later
// error does not prove that the request did not run.
[[nodiscard]] ErrorKind kindForCaller(const AttemptState &State,
                                      ErrorKind Kind);

// Returns the time to wait for a response before a hedge is sent, derived from
// the median latency of the service.
[[nodiscard]] Duration hedgeDelay(Duration Median);

} // namespace magnolia::policy

#endif
