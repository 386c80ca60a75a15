#ifndef POLICY_ROUTE_CANDIDATE_H
#define POLICY_ROUTE_CANDIDATE_H

#include "policy/load/load_report.h"
#include "policy/outlier/health_state.h"
#include "policy/route/candidate_spec.h"

namespace magnolia::policy {

// One backend server as an entry node sees it.
struct Candidate {
  CandidateSpec Spec;
  // Own requests without a response yet, and the sum of their start times.
  std::uint32_t InFlight = 0;
  std::int64_t StartSum = 0;
  // Last load report, the time of its arrival (zero: none) and InFlight then.
  LoadReport Report;
  TimePoint ReportAt{};
  std::uint32_t InFlightAtReport = 0;
  // Time of the oldest probe since the last load report; zero: none.
  TimePoint ProbeAt{};
  // Moving average of the requests that other entry nodes have there.
  float Others = 0;
  // Own moving average of the time from dispatch to response, without the
  // network time of the distance.
  Duration Latency{0};
  TimePoint LatencyAt{};
  std::uint32_t Samples = 0;
  // Lowest own in-flight count at which the sidecar reported a full server;
  // bounds a report whose limit is too high. Grows back with responses.
  float OwnLimit = 0;
  // Start of the ramp of the traffic share; zero: no ramp.
  TimePoint RampFrom{};
  HealthState Health;
};

} // namespace magnolia::policy

#endif
