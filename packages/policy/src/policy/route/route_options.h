#ifndef POLICY_ROUTE_ROUTE_OPTIONS_H
#define POLICY_ROUTE_ROUTE_OPTIONS_H

#include "policy/core/types.h"
#include "policy/outlier/outlier_options.h"

namespace magnolia::policy {

// Parameters of routing, equal for all candidates of a service.
struct RouteOptions {
  // Candidates beyond this number are left out and counted.
  std::size_t MaxCandidates = 32768;
  // Up to this number of candidates are all scored; of more, Samples are.
  std::uint32_t ScanAtMost = 16;
  std::uint32_t Samples = 6;
  // Draws before choose gives up finding an eligible candidate.
  std::uint32_t MaxDraws = 64;
  // Limit of a candidate that has not reported one.
  std::uint32_t DefaultLimit = 4;
  // Latency of a candidate before anything was measured.
  Duration DefaultLatency = std::chrono::milliseconds(5);
  // Age at which a load report has lost two thirds of its weight.
  Duration ReportDecay = std::chrono::milliseconds(100);
  // Age at which a measured latency has lost two thirds of its weight.
  Duration LatencyDecay = std::chrono::milliseconds(500);
  // Factor on the expected time of candidates in other zones. Above 1 it keeps
  // requests in the own zone while its servers bear them: bytes between zones
  // cost more than some waiting.
  double FarFactor = 1.0;
  // Time for which the share of a new or returned candidate grows.
  Duration Ramp = std::chrono::seconds(2);
  OutlierOptions Outlier;
};

} // namespace magnolia::policy

#endif
