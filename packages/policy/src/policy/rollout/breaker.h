#ifndef POLICY_ROLLOUT_BREAKER_H
#define POLICY_ROLLOUT_BREAKER_H

#include "policy/core/types.h"
#include "policy/rollout/rollout_breaker.h"
#include "policy/rollout/rollout_record.h"
#include "policy/rollout/stats_report.h"

#include <chrono>
#include <string_view>

namespace magnolia::policy {

// Length of the open period after a first failure, and maximum length of the
// half-open period that follows. Both together end within the two seconds in
// which a bad version must stop receiving requests.
inline constexpr Duration BreakerOpenTime = std::chrono::milliseconds{500};
inline constexpr Duration BreakerHalfOpenTime = std::chrono::milliseconds{900};

// Number of successful responses of the new version on the failed route that
// close the breaker.
inline constexpr std::uint32_t BreakerHalfOpenResponses = 3;

// Requests per second that the half-open period aims to send to the new version
// on that route, and the highest share that a node with little traffic uses for
// it.
inline constexpr double BreakerHalfOpenRate = 5.0;
inline constexpr double BreakerHalfOpenShare = 0.25;

// Adopts a record of the rollout. A new rollout resets the breaker, and a new
// step resets the totals of the step. Other state of the same rollout is kept.
void beginRollout(RolloutBreaker &Breaker, const RolloutRecord &Record);

// Counts one response and evaluates its route. Returns true if the verdict
// became bad; the caller then sends the verdict to the other nodes.
bool countResponse(RolloutBreaker &Breaker, std::string_view Route,
                   VersionRole Role, bool Failed, Duration Latency,
                   TimePoint Now);

// Merges a verdict from another node. Returns true if the verdict became bad.
bool joinVerdict(RolloutBreaker &Breaker, std::string_view RolloutId,
                 const Verdict &Sent);

// Returns the share, from 0 to 1, of the service's traffic that this node
// currently sends to the new version. This is the share of the record, or 0 if
// the breaker is open or the deadline has passed without Done. Now is
// wall-clock time, as in the record and in the breaker.
[[nodiscard]] double effectiveShare(const RolloutRecord &Record,
                                    const RolloutBreaker &Breaker,
                                    TimePoint Now);

// Returns the responses since the previous report, for the driver, and resets
// their counts.
[[nodiscard]] StatsReport takeReport(RolloutBreaker &Breaker,
                                     const RolloutRecord &Record, NodeId Self,
                                     Incarnation Run);

} // namespace magnolia::policy

#endif
