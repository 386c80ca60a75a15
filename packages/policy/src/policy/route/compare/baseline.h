#ifndef POLICY_ROUTE_COMPARE_BASELINE_H
#define POLICY_ROUTE_COMPARE_BASELINE_H

#include "policy/route/compare/probe_pool.h"
#include "policy/route/route_query.h"
#include "policy/route/route_state.h"

namespace magnolia::policy {

// Well-known load-balancing algorithms with which choose is compared.
enum class Baseline : std::uint8_t {
  Random,
  RoundRobin,
  LeastInFlight,
  PooledProbes,
};

struct BaselineState {
  Baseline Kind = Baseline::Random;
  std::uint64_t Next = 0;
  ProbePool Pool;
};

// Chooses by the baseline algorithm among the active candidates that are not
// excluded.
[[nodiscard]] std::optional<NodeId>
chooseBaseline(BaselineState &State, const RouteState &Route,
               const RouteQuery &Query, TimePoint Now, RandomEngine &Random);

// Adds a probe response; if the pool is full, evicts the oldest.
void addProbe(ProbePool &Pool, NodeId Node, const LoadReport &Load,
              TimePoint Now);

} // namespace magnolia::policy

#endif
