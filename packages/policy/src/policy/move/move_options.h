#ifndef POLICY_MOVE_MOVE_OPTIONS_H
#define POLICY_MOVE_MOVE_OPTIONS_H

#include "policy/core/types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Schedule and thresholds of moves.
struct MoveOptions {
  // The last step leaves a few requests to the old version, so that the two
  // can be compared at the same time up to the end.
  static constexpr std::array<double, 6> Shares = {0.02, 0.05, 0.10,
                                                   0.25, 0.50, 0.90};
  // Answers of the new version that a step needs before the next one. The
  // second value guards the way above 5% of the traffic.
  static constexpr std::array<std::uint64_t, 6> MinRequests = {5,  20, 30,
                                                               30, 30, 30};
  // Time for a configuration to take effect everywhere: Done is written at
  // least this long before the deadline.
  Duration DoneMargin = std::chrono::seconds{15};
  // Allowance for the write itself, retries included.
  Duration WriteAllowance = std::chrono::seconds{2};
  // Longer than the time within which a fault has to be acted upon.
  Duration MinSoak = std::chrono::milliseconds{2'500};
  Duration MaxSoak = std::chrono::minutes{2};
  // Answers of a route per step before the route counts as tried, and the part
  // of the service's traffic below which a route isn't waited for.
  std::uint64_t MinRouteRequests = 3;
  double MinRouteShare = 0.05;
  // A driver of the next rank takes over after this time without progress.
  Duration TakeoverDelay = std::chrono::seconds{3};
};

} // namespace magnolia::policy

#endif
