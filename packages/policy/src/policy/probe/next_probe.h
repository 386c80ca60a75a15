#ifndef POLICY_PROBE_NEXT_PROBE_H
#define POLICY_PROBE_NEXT_PROBE_H

#include "policy/probe/probe_budget.h"
#include "policy/route/route_state.h"

#include <optional>

namespace magnolia::policy {

// Counts one request and adds Ratio to the budget.
void recordRequest(ProbeBudget &Budget, TimePoint Now);

// Chooses a candidate without a fresh load report and charges the budget for
// its probe. Returns nullopt if no candidate needs a probe or the budget is
// exhausted.
[[nodiscard]] std::optional<NodeId> nextProbe(ProbeBudget &Budget,
                                              const RouteState &State,
                                              TimePoint Now,
                                              RandomEngine &Random);

// Returns the time until the budget allows a probe if no requests add to it; 0
// if it allows one now.
[[nodiscard]] Duration untilNextProbe(const ProbeBudget &Budget, TimePoint Now);

// Returns the maximum number of probes that the options allow since the first
// use.
[[nodiscard]] double probesAllowed(const ProbeBudget &Budget, TimePoint Now);

} // namespace magnolia::policy

#endif
