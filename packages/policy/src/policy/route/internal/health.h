#ifndef POLICY_ROUTE_INTERNAL_HEALTH_H
#define POLICY_ROUTE_INTERNAL_HEALTH_H

#include "policy/route/route_state.h"

namespace magnolia::policy::internal {

// True where the candidate belongs to RouteState::Active.
[[nodiscard]] bool isActive(const Candidate &Next);

// Ejects the candidate where its latency, its open requests or its failures
// show a fault and the minimum share allows it.
void examine(RouteState &State, Candidate &Next, TimePoint Now);

// Adds a result to the failure statistics of the candidate and the service.
void countResult(RouteState &State, Candidate &Next, bool Failed);

// Ends a trial request: good, bad, or without evidence.
void concludeTrial(RouteState &State, Candidate &Next, bool Good,
                   TimePoint Now);
void postponeTrial(RouteState &State, Candidate &Next, TimePoint Now);

// Counts the ejected candidates again and readmits those that have waited
// longest where fewer than half are eligible.
void recount(RouteState &State);

} // namespace magnolia::policy::internal

#endif
