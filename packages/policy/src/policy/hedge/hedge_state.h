#ifndef POLICY_HEDGE_HEDGE_STATE_H
#define POLICY_HEDGE_HEDGE_STATE_H

#include "policy/hedge/hedge_limit.h"
#include "policy/hedge/response_times.h"
#include "policy/hedge/slow_share.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace magnolia::policy {

// State of the hedged requests of one service at one entry node. It is not
// thread-safe; callers guard it with the mutex of the service.
struct HedgeState {
  // Requests of further routes are not hedged.
  static constexpr std::size_t MaxRoutes = 64;

  std::map<std::string, ResponseTimes, std::less<>> Routes;
  HedgeLimit Limit;
  SlowShare Slow;
  std::uint64_t Requests = 0;
  std::uint64_t Sent = 0;
  // Hedges that the limit did not permit, and those refused for another reason.
  std::uint64_t RefusedByLimit = 0;
  std::uint64_t RefusedOther = 0;
  // Requests of routes beyond MaxRoutes.
  std::uint64_t RoutesRefused = 0;
};

} // namespace magnolia::policy

#endif
