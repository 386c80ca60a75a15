#ifndef POLICY_CHAIN_ADMIT_ROUTE_H
#define POLICY_CHAIN_ADMIT_ROUTE_H

#include "policy/chain/route_admission_state.h"
#include "policy/chain/route_counts.h"
#include "policy/chain/route_evidence.h"

#include <string_view>

namespace magnolia::policy {

// Request of a caller at its entry node.
struct RouteArrival {
  std::string_view Route;
  // 0 is the highest.
  std::uint32_t Priority = 0;
  // Time until which the caller waits; unset if it states none.
  TimePoint CallerDeadline{};
  // True for a call of a backend server that runs a request. Its parent is
  // running already, so it is always admitted.
  bool Nested = false;
  // False if admission by workload is switched off: every request is admitted,
  // and rejected callers return after a random delay.
  bool Aware = true;
};

// Decision about one request and the inputs that led to it.
struct RouteDecision {
  bool Admitted = true;
  // True if the caller returned at the time that it was given.
  bool Returned = false;
  // Share of the requests that is admitted now.
  double Share = 1;
  // Limit of the share by the higher ranks that are shed.
  double HigherShare = 1;
  RouteEvidence Evidence;
};

// Decides whether a request is admitted although nested calls of its route are
// rejected. Without fresh reports of losses every request is admitted.
[[nodiscard]] RouteDecision admitRoute(RouteAdmissionState &State,
                                       const RouteArrival &Arrival,
                                       TimePoint Now);

// Records the counts that a sidecar attached to a response for the route.
void onRouteCounts(RouteAdmissionState &State, std::string_view Route,
                   NodeId Sidecar, const RouteCounts &Counts, TimePoint Now);

} // namespace magnolia::policy

#endif
