#ifndef POLICY_HEDGE_SLOW_SHARE_H
#define POLICY_HEDGE_SLOW_SHARE_H

#include "policy/core/types.h"

#include <array>
#include <cstddef>

namespace magnolia::policy {

// First copies of the last second that were answered before their delay, and
// those that were not. It shows that a whole service is slow before the
// quantiles have followed.
struct SlowShare {
  static constexpr std::size_t Steps = 10;
  static constexpr Duration StepLength = std::chrono::milliseconds(100);

  struct Step {
    // Number of the step since the epoch of the clock.
    std::int64_t Number = -1;
    std::uint32_t Early = 0;
    std::uint32_t Late = 0;
  };

  std::array<Step, Steps> Recent{};
};

} // namespace magnolia::policy

#endif
