#include "daemon/entry/route_gate.h"

#include "daemon/entry/entry.h"

namespace magnolia::daemon {

policy::RouteDecision RouteGate::admit(const policy::RouteArrival &Arrival,
                                       policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  return policy::admitRoute(State, Arrival, Now);
}

void RouteGate::onCounts(std::string_view Route, policy::NodeId Sidecar,
                         const policy::RouteCounts &Counts,
                         policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  policy::onRouteCounts(State, Route, Sidecar, Counts, Now);
}

policy::Duration RouteGate::planReturn(const policy::RouteArrival &Arrival,
                                       policy::ErrorKind Kind,
                                       policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  return policy::planReturn(State, Arrival, Kind, Now, threadEngine());
}

policy::RouteAdmissionState RouteGate::state() const {
  const std::lock_guard Lock(Mutex);
  return State;
}

} // namespace magnolia::daemon
