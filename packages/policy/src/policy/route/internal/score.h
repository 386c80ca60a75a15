#ifndef POLICY_ROUTE_INTERNAL_SCORE_H
#define POLICY_ROUTE_INTERNAL_SCORE_H

#include "policy/route/route_state.h"

namespace magnolia::policy::internal {

// Load and cost of one candidate for the next request.
struct Score {
  // Expected time to a response in nanoseconds.
  double Cost = 0;
  // True if no free slot is expected.
  bool Full = false;
};

[[nodiscard]] Score score(const RouteState &State, const Candidate &Server,
                          TimePoint Now);

// Returns the probability, from 0 to 1, with which the candidate counts as full
// for a request with a large body because of the use of its link.
[[nodiscard]] double linkBusyShare(const RouteState &State,
                                   const Candidate &Server, TimePoint Now);

// Returns true if a connection attempt to the candidate failed a short time
// ago.
[[nodiscard]] bool hasConnectFailed(const RouteState &State,
                                    const Candidate &Server, TimePoint Now);

// Estimates the requests in flight on the candidate from all entry nodes.
[[nodiscard]] double expectedInFlight(const RouteState &State,
                                      const Candidate &Server, TimePoint Now);

// Estimates the concurrency limit of the candidate, reduced during its ramp.
[[nodiscard]] double expectedLimit(const RouteState &State,
                                   const Candidate &Server, TimePoint Now);

// Returns the share of its limit that a candidate may use during its ramp, from
// 0 to 1.
[[nodiscard]] double rampShare(const RouteState &State, const Candidate &Server,
                               TimePoint Now);

} // namespace magnolia::policy::internal

#endif
