#ifndef POLICY_ROUTE_ESTIMATE_H
#define POLICY_ROUTE_ESTIMATE_H

#include "policy/core/types.h"
#include "policy/route/route_state.h"

namespace magnolia::policy {

// Values by which choose compares a candidate with others.
struct CandidateEstimate {
  // Expected time to a response, weighted by load and zone.
  Duration Finish{0};
  double InFlight = 0;
  double Limit = 0;
  // True if a request would probably wait or be rejected.
  bool Full = false;
};

[[nodiscard]] CandidateEstimate
estimate(const RouteState &State, const Candidate &Server, TimePoint Now);

} // namespace magnolia::policy

#endif
