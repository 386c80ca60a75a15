#ifndef POLICY_ROUTE_CANDIDATE_H
#define POLICY_ROUTE_CANDIDATE_H

#include "policy/load/load_report.h"
#include "policy/outlier/health_state.h"
#include "policy/route/candidate_spec.h"

namespace magnolia::policy {

// One backend server as an entry node sees it.
struct Candidate {
  CandidateSpec Spec;
  // Requests of this entry node without a response yet, and the sum of their
  // start times.
  std::uint32_t InFlight = 0;
  std::int64_t StartTimeSum = 0;
  // Last load report, the time of its arrival (zero if there is none) and the
  // value of InFlight at that time.
  LoadReport Report;
  TimePoint ReportAt{};
  std::uint32_t InFlightAtReport = 0;
  // Time of the oldest probe since the last load report; zero if there is none.
  TimePoint ProbeAt{};
  // Moving average of the requests in flight from other entry nodes.
  float OthersInFlight = 0;
  // Moving average of the time from dispatch to response as measured by this
  // entry node, without the network time in Spec.Distance.
  Duration Latency{0};
  TimePoint LatencyAt{};
  std::uint32_t Samples = 0;
  // Limit observed from rejections: the value of InFlight at which the sidecar
  // last rejected a request for lack of capacity. It caps a reported limit that
  // is too high and grows with each response. 0 if there is none.
  float ObservedLimit = 0;
  // Time at which a connection attempt to it was last refused or timed out;
  // zero if none was.
  TimePoint ConnectFailedAt{};
  // Start of the ramp of the traffic share; zero if there is no ramp.
  TimePoint RampFrom{};
  HealthState Health;
};

} // namespace magnolia::policy

#endif
