#ifndef POLICY_ROLLOUT_STATS_REPORT_H
#define POLICY_ROLLOUT_STATS_REPORT_H

#include "policy/core/types.h"
#include "policy/rollout/route_stats.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::policy {

// Responses that one entry node has seen since its previous report. The number
// of routes in a report is limited; the responses on others follow later.
struct StatsReport {
  static constexpr std::size_t MaxRoutes = 64;

  NodeId Node = 0;
  Incarnation Run = 0;
  std::string RolloutId;
  // Sequence number of the report; a repeated or out-of-order report is
  // ignored.
  std::uint64_t Window = 0;
  // Step of the record when the responses were seen.
  std::uint32_t Step = 0;
  std::vector<RouteStats> Routes;
};

} // namespace magnolia::policy

#endif
