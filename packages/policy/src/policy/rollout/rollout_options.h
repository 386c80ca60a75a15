#ifndef POLICY_ROLLOUT_ROLLOUT_OPTIONS_H
#define POLICY_ROLLOUT_ROLLOUT_OPTIONS_H

#include "policy/core/types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace magnolia::policy {

struct RolloutRecord;

// Share of the traffic that the new version receives in a step, and the number
// of its responses that the step needs before the next one.
struct RolloutStep {
  double Share = 0;
  std::uint64_t MinRequests = 0;
};

// Schedule and thresholds of rollouts.
struct RolloutOptions {
  // The last step leaves a few requests to the old version, so that the two
  // versions can be compared at the same time until the end. The second step
  // has to pass before the share exceeds 5% of the traffic.
  static constexpr std::array<RolloutStep, 6> FullSteps = {
      {{0.02, 5}, {0.05, 20}, {0.10, 30}, {0.25, 30}, {0.50, 30}, {0.90, 30}}};
  // Schedule for windows of a few seconds. The first three steps stay below 10%
  // of the traffic, as a rollout with too few responses may stay there until it
  // is rolled back. The last two leave the old version time to complete its
  // requests, as its servers stop when the rollout is done.
  static constexpr std::array<RolloutStep, 7> ShortSteps = {{{0.08, 5},
                                                             {0.09, 6},
                                                             {0.09, 8},
                                                             {0.30, 12},
                                                             {0.70, 15},
                                                             {1.00, 15},
                                                             {1.00, 15}}};
  std::span<const RolloutStep> Steps = FullSteps;
  // Time for a configuration change to take effect on all nodes: Done is
  // written at least this long before the deadline.
  Duration DoneMargin = std::chrono::seconds{15};
  // Allowance for the write itself, retries included.
  Duration WriteAllowance = std::chrono::seconds{2};
  // Longer than the time within which the system has to react to a fault.
  Duration MinSoak = std::chrono::milliseconds{2'500};
  Duration MaxSoak = std::chrono::minutes{2};
  // Minimum number of responses of the new version per route and step, and the
  // fraction of the service's traffic below which a route is not waited for.
  std::uint64_t MinRouteRequests = 3;
  double MinRouteShare = 0.05;
  // A step also requires that the failure rate of the new version is at most
  // twice that of the old one plus this margin. In windows of a few seconds
  // there are too few responses for a verdict on a version that fails a tenth
  // of them, for example under load. With 0 only a verdict counts.
  double FailureMargin = 0;
  // From this share on, a rollout whose new version exceeds that failure rate
  // is rolled back; below it, the rollout waits for more responses.
  double LargeShare = 0.25;
  // Number of failures of the new version in a step from which such a rollout
  // is rolled back before the end of the step. A single failure may be chance.
  std::uint64_t MinEarlyFailures = 3;
  // Time without progress after which the watcher of the next rank takes over.
  Duration TakeoverDelay = std::chrono::seconds{3};
};

// Returns the schedule that fits the window of the rollout.
[[nodiscard]] RolloutOptions optionsFor(const RolloutRecord &Record);

} // namespace magnolia::policy

#endif
