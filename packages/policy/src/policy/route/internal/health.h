#ifndef POLICY_ROUTE_INTERNAL_HEALTH_H
#define POLICY_ROUTE_INTERNAL_HEALTH_H

#include "policy/route/route_state.h"

namespace magnolia::policy::internal {

// Returns true if the candidate belongs to RouteState::Active.
[[nodiscard]] bool isActive(const Candidate &Server);

// Ejects the candidate if its latency, its requests in flight or its failures
// make it an outlier and enough candidates stay eligible.
void ejectIfOutlier(RouteState &State, Candidate &Server, TimePoint Now);

// Adds a result to the failure statistics of the candidate and the service.
void countResult(RouteState &State, Candidate &Server, bool Failed);

// Ends a trial request with a result, or without one to send another trial
// request later.
void finishTrial(RouteState &State, Candidate &Server, bool Good,
                 TimePoint Now);
void postponeTrial(RouteState &State, Candidate &Server, TimePoint Now);

// Recounts the ejected candidates. If fewer than half are eligible, readmits
// those whose next trial request is due first.
void recountEjected(RouteState &State);

} // namespace magnolia::policy::internal

#endif
