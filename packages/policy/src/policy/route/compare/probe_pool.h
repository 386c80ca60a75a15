#ifndef POLICY_ROUTE_COMPARE_PROBE_POOL_H
#define POLICY_ROUTE_COMPARE_PROBE_POOL_H

#include "policy/load/load_report.h"

#include <vector>

namespace magnolia::policy {

// Probe response that may serve for several requests.
struct PooledProbe {
  NodeId Node = 0;
  std::uint32_t InFlight = 0;
  Duration Latency{0};
  TimePoint At{};
  std::uint32_t Uses = 0;
};

// Pool of probe responses for the baseline with a hot/cold split.
struct ProbePool {
  std::size_t MaxProbes = 16;
  Duration MaxAge = std::chrono::seconds(1);
  std::uint32_t MaxUses = 4;
  // Probes with more requests in flight than this quantile of the pool are hot.
  double HotQuantile = 0.84;
  std::vector<PooledProbe> Probes;
};

} // namespace magnolia::policy

#endif
