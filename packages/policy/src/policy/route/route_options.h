#ifndef POLICY_ROUTE_ROUTE_OPTIONS_H
#define POLICY_ROUTE_ROUTE_OPTIONS_H

#include "policy/core/types.h"
#include "policy/outlier/outlier_options.h"

namespace magnolia::policy {

// Routing parameters, the same for all candidates of a service.
struct RouteOptions {
  // Candidates beyond this number are ignored and counted.
  std::size_t MaxCandidates = 32768;
  // Up to this number of candidates, all are scored. Of a larger set, Samples
  // are drawn at random and scored.
  std::uint32_t MaxFullScan = 16;
  std::uint32_t Samples = 6;
  // Maximum number of draws in the search for an eligible candidate.
  std::uint32_t MaxDraws = 64;
  // Concurrency limit assumed for a candidate that has not reported one.
  std::uint32_t DefaultLimit = 4;
  // Latency assumed for a candidate before the first measurement.
  Duration DefaultLatency = std::chrono::milliseconds(5);
  // Age at which a load report has lost two thirds of its weight.
  Duration ReportDecay = std::chrono::milliseconds(100);
  // Age at which a measured latency has lost two thirds of its weight.
  Duration LatencyDecay = std::chrono::milliseconds(500);
  // Factor on the expected response time of candidates in other zones. A value
  // above 1 keeps requests in the local zone while its servers have capacity,
  // since traffic between zones costs more than a short wait.
  double FarFactor = 1.0;
  // Time over which the traffic share of a new or returned candidate grows.
  Duration Ramp = std::chrono::seconds(2);
  // Use of the link of a candidate, in percent, from which it counts as full
  // for some of the requests with a large body, and from which it does for all
  // of them. The probability rises linearly in between, so that the entry nodes
  // do not all switch to another candidate at the same moment.
  double BusyLinkFrom = 50;
  double BusyLinkFull = 90;
  // Age above which the use of the link in a load report counts as 0.
  Duration LinkUseMaxAge = std::chrono::seconds(1);
  // Time for which a candidate counts as full after a connection attempt to it
  // was refused or timed out.
  Duration ConnectFailureHold = std::chrono::milliseconds(500);
  OutlierOptions Outlier;
};

} // namespace magnolia::policy

#endif
