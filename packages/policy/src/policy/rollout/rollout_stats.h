#ifndef POLICY_ROLLOUT_ROLLOUT_STATS_H
#define POLICY_ROLLOUT_ROLLOUT_STATS_H

#include "policy/core/types.h"
#include "policy/rollout/combined_ring.h"
#include "policy/rollout/response_ring.h"
#include "policy/rollout/rollout_record.h"
#include "policy/rollout/route_rows.h"
#include "policy/rollout/route_stats.h"
#include "policy/rollout/stats_report.h"
#include "policy/rollout/verdict.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnolia::policy {

// Response statistics that the driver of a rollout has collected: the responses
// of the current step from all entry nodes, and the merged verdict. A new
// driver starts with empty statistics and collects for the rest of the step.
struct RolloutStats {
  static constexpr std::size_t MaxReporters = 32'768;
  // Below this number, responses of the old version in earlier steps are added
  // to the baseline. One failure in 30 is the margin of short rollouts.
  static constexpr std::uint64_t MinBaselineResponses = 30;

  std::string RolloutId;
  std::uint32_t Step = 0;
  RouteRows Rows;
  // Sums over the whole step, by the numbers of the rows; Rings[I] belongs to
  // Routes[I].
  std::vector<RouteStats> Routes;
  // Responses of the last seconds on the same routes. The sums of a long step
  // would hide a fault that starts late in the step.
  std::vector<ResponseRing> Rings;
  CombinedRing All;
  // Responses of the old version on all routes during the latest earlier step
  // that had enough of them, or during all steps if none had. The new version
  // is compared with them once the old one receives few requests.
  VersionCounts OldBefore;
  Verdict Current;
  // Incarnation and sequence number of the last report of each entry node.
  std::unordered_map<NodeId, std::pair<Incarnation, std::uint64_t>> Reporters;
  std::uint64_t Duplicates = 0;
  // Reports that were ignored because of MaxReporters.
  std::uint64_t OverLimit = 0;
};

// Adds a report to the sums and evaluates each of its routes. Ignores reports
// of another rollout; reports of an earlier step count only towards the
// verdict. Returns true if the verdict became bad.
bool addReport(RolloutStats &Stats, const RolloutRecord &Record,
               const StatsReport &Report, TimePoint Now);

// Returns the responses of the old version with which those of the new one in
// the current step are compared: those of the same step if there are enough.
// Older ones may contain failures of a fault that is over, which would hide
// that the new version fails.
[[nodiscard]] VersionCounts oldBaseline(const RolloutStats &Stats);

// Merges a verdict that a node has sent. Returns true if the verdict became
// bad.
bool addVerdict(RolloutStats &Stats, const RolloutRecord &Record,
                std::string_view RolloutId, const Verdict &Sent);

} // namespace magnolia::policy

#endif
