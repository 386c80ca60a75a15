#ifndef POLICY_CHAIN_ADAPT_SHARE_H
#define POLICY_CHAIN_ADAPT_SHARE_H

#include "policy/chain/route_admission_state.h"
#include "policy/chain/route_evidence.h"

namespace magnolia::policy {

// Adapts the admitted share of the route to its losses, at most once in each
// step of the options.
void adaptShare(RouteAdmissionState &State, AdmittedRoute &Route,
                TimePoint Now);

// Returns the share that is admitted now. Outdated reports shed nothing, so it
// rises to 1 with their age.
[[nodiscard]] double trustedShare(const AdmittedRoute &Route,
                                  const RouteEvidence &Known);

// Counts a request of the route for its rate.
void countRequest(AdmittedRoute &Route, TimePoint Now);

} // namespace magnolia::policy

#endif
