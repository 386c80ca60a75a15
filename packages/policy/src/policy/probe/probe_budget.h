#ifndef POLICY_PROBE_PROBE_BUDGET_H
#define POLICY_PROBE_PROBE_BUDGET_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Limits of probing for one service on one entry node.
struct ProbeOptions {
  // Probes allowed per request.
  double Ratio = 0.02;
  // Probes allowed per second regardless of the number of requests.
  double FloorPerSecond = 2.0;
  // Capacity of the token bucket; also its initial value.
  double Cap = 4.0;
  // Age up to which a load report is fresh, so that no probe is needed.
  Duration FreshFor = std::chrono::milliseconds(50);
};

// Token bucket for probes. In any interval the number of probes is at most
// Cap + Ratio * requests + FloorPerSecond * seconds.
struct ProbeBudget {
  ProbeOptions Options;
  double Tokens = 0;
  TimePoint FilledAt{};
  // Time of the first use; zero if unused.
  TimePoint Since{};
  std::uint64_t Requests = 0;
  std::uint64_t Probes = 0;
  // Probes that the budget did not permit.
  std::uint64_t Refused = 0;
};

} // namespace magnolia::policy

#endif
