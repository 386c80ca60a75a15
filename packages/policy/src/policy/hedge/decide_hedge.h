#ifndef POLICY_HEDGE_DECIDE_HEDGE_H
#define POLICY_HEDGE_DECIDE_HEDGE_H

#include "policy/hedge/hedge_decision.h"
#include "policy/hedge/hedge_options.h"
#include "policy/hedge/hedge_query.h"
#include "policy/hedge/hedge_state.h"
#include "policy/retry/attempt_state.h"
#include "policy/retry/retry_budget.h"
#include "policy/route/route_state.h"

#include <optional>
#include <string_view>

namespace magnolia::policy {

// Age up to which a load report shows the free slots of a server. Requests take
// some tenths of a second, so an older one says nothing about its slots now.
inline constexpr Duration MaxHedgeReportAge = std::chrono::milliseconds(250);

// Counts a request of the service.
void recordHedgeRequest(HedgeState &State, std::uint32_t Percent);

// Returns the time after the dispatch of the first copy at which a hedge may be
// sent, without the network time to the server, or nothing if too few response
// times of the route are known.
[[nodiscard]] std::optional<Duration> hedgeDelay(HedgeState &State,
                                                 std::string_view Route,
                                                 const HedgeOptions &Options,
                                                 TimePoint Now);

// Records the response time of a first copy, without the network time. A first
// copy that is cancelled because its hedge was answered is recorded with the
// time it had taken, or the quantile would fall with each hedge. Early states
// that the response came before a hedge could be sent.
void recordHedgeTime(HedgeState &State, std::string_view Route, Duration Length,
                     bool Early, TimePoint Now);

// Decides whether a second copy is sent after the delay has passed, and to
// which server. If so, the limit, the retry budget and the number of attempts
// are charged; the caller calls onAttempt.
[[nodiscard]] HedgeDecision
decideHedge(HedgeState &State, const RouteState &Servers,
            AttemptState &Attempts, RetryBudget &Budget,
            const HedgeQuery &Query, TimePoint Now, RandomEngine &Random);

} // namespace magnolia::policy

#endif
