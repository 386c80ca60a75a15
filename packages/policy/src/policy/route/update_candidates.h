#ifndef POLICY_ROUTE_UPDATE_CANDIDATES_H
#define POLICY_ROUTE_UPDATE_CANDIDATES_H

#include "policy/route/route_state.h"

#include <span>

namespace magnolia::policy {

// Replaces the set of candidates. Measurements of a node are kept unless its
// incarnation changed. A new incarnation and a node whose zone returned to
// service start with a small traffic share that grows.
void updateCandidates(RouteState &State, std::span<const CandidateSpec> Specs,
                      TimePoint Now);

// Returns the candidate with this node id, or null.
[[nodiscard]] const Candidate *findCandidate(const RouteState &State,
                                             NodeId Node);

} // namespace magnolia::policy

#endif
