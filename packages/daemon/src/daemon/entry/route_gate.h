#ifndef DAEMON_ENTRY_ROUTE_GATE_H
#define DAEMON_ENTRY_ROUTE_GATE_H

#include "policy/chain/admit_route.h"
#include "policy/chain/plan_return.h"

#include <mutex>
#include <string_view>

namespace magnolia::daemon {

// Admission of requests by the losses of their nested calls, shared by all
// traffic threads of an entry node.
class RouteGate {
public:
  [[nodiscard]] policy::RouteDecision admit(const policy::RouteArrival &Arrival,
                                            policy::TimePoint Now);
  // Records the counts that a sidecar reported for the route.
  void onCounts(std::string_view Route, policy::NodeId Sidecar,
                const policy::RouteCounts &Counts, policy::TimePoint Now);
  // Returns the time after which a rejected caller should return.
  [[nodiscard]] policy::Duration planReturn(const policy::RouteArrival &Arrival,
                                            policy::ErrorKind Kind,
                                            policy::TimePoint Now);
  [[nodiscard]] policy::RouteAdmissionState state() const;

private:
  mutable std::mutex Mutex;
  policy::RouteAdmissionState State;
};

} // namespace magnolia::daemon

#endif
