#ifndef POLICY_ROLLOUT_ROLLOUT_BREAKER_H
#define POLICY_ROLLOUT_ROLLOUT_BREAKER_H

#include "policy/core/types.h"
#include "policy/rollout/combined_ring.h"
#include "policy/rollout/response_pair.h"
#include "policy/rollout/response_ring.h"
#include "policy/rollout/route_rows.h"
#include "policy/rollout/verdict.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::policy {

enum class VersionRole : std::uint8_t { Old, New };

// The circuit breaker of one entry node for one rollout: its own counts of the
// last seconds per route and version, and the verdict that it draws from them
// at once. Change it only with the functions of breaker.h.
struct RolloutBreaker {
  // Responses of one row.
  struct RouteResponses {
    std::string Route;
    ResponseRing Ring;
    // Totals since the step began. At low traffic, the failures of a bad
    // version are further apart than the ring covers.
    ResponsePair Step;
    // Totals since the last report to the driver.
    ResponsePair Report;
    // Sequence number of the last report that contained the row.
    std::uint64_t Reported = 0;
  };

  std::string RolloutId;
  std::uint32_t Step = 0;
  RouteRows Rows;
  // By the numbers of the rows.
  std::vector<RouteResponses> Routes;
  CombinedRing All;
  Verdict Current;
  // End of the open period, until which the new version receives no requests.
  TimePoint OpenUntil;
  // End of the half-open period that follows, the route that failed, and the
  // number of responses of the new version on it so far; enough of them close
  // the breaker early.
  TimePoint HalfOpenUntil;
  std::size_t HalfOpenRoute = 0;
  std::uint32_t HalfOpenResponses = 0;
  std::uint64_t NextReport = 1;
  std::uint64_t Pauses = 0;
};

} // namespace magnolia::policy

#endif
