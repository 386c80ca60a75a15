#ifndef POLICY_MOVE_MOVE_OPTIONS_H
#define POLICY_MOVE_MOVE_OPTIONS_H

#include "policy/core/types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace magnolia::policy {

struct MoveRecord;

// Share of the traffic that the new version gets in a step, and its answers
// that the step needs before the next one.
struct MoveStep {
  double Share = 0;
  std::uint64_t MinRequests = 0;
};

// Schedule and thresholds of moves.
struct MoveOptions {
  // The last step leaves a few requests to the old version, so that the two
  // can be compared at the same time up to the end. The second step guards the
  // way above 5% of the traffic.
  static constexpr std::array<MoveStep, 6> FullSteps = {
      {{0.02, 5}, {0.05, 20}, {0.10, 30}, {0.25, 30}, {0.50, 30}, {0.90, 30}}};
  // For windows of seconds. The first three steps stay under a tenth of the
  // traffic, as a move may have to wait there for evidence until it is taken
  // back. The last two leave the old version time to end its requests, as its
  // servers stop when the move is done.
  static constexpr std::array<MoveStep, 7> ShortSteps = {{{0.08, 5},
                                                          {0.09, 6},
                                                          {0.09, 8},
                                                          {0.30, 12},
                                                          {0.70, 15},
                                                          {1.00, 15},
                                                          {1.00, 15}}};
  std::span<const MoveStep> Steps = FullSteps;
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
  // A step also needs that the new version's failure rate is at most twice the
  // old one's plus this. In windows of seconds there are too few answers for a
  // verdict on a version that fails a tenth of them, as under load. 0: only a
  // verdict counts.
  double FailureMargin = 0;
  // From this share on a move whose new version fails more than that is taken
  // back; below it waits for more answers.
  double LargeShare = 0.25;
  // A driver of the next rank takes over after this time without progress.
  Duration TakeoverDelay = std::chrono::seconds{3};
};

// Schedule that fits the window of the move.
[[nodiscard]] MoveOptions optionsFor(const MoveRecord &Record);

} // namespace magnolia::policy

#endif
