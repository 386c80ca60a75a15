#ifndef POLICY_ROUTE_INTERNAL_SCORE_H
#define POLICY_ROUTE_INTERNAL_SCORE_H

#include "policy/route/route_state.h"

namespace magnolia::policy::internal {

// Load and cost of one candidate for the next request.
struct Score {
  // Expected time to a response in nanoseconds.
  double Cost = 0;
  // No free slot is expected.
  bool Full = false;
};

[[nodiscard]] Score score(const RouteState &State, const Candidate &Next,
                          TimePoint Now);

// Expected in-flight requests on the candidate from all entry nodes.
[[nodiscard]] double expectedInFlight(const RouteState &State,
                                      const Candidate &Next, TimePoint Now);

// In-flight requests that the candidate is given at most, ramp included.
[[nodiscard]] double expectedLimit(const RouteState &State,
                                   const Candidate &Next, TimePoint Now);

// Share of the full limit of a candidate in its ramp, 0 to 1.
[[nodiscard]] double rampShare(const RouteState &State, const Candidate &Next,
                               TimePoint Now);

} // namespace magnolia::policy::internal

#endif
