#ifndef POLICY_ROLLOUT_RESPONSE_RING_H
#define POLICY_ROLLOUT_RESPONSE_RING_H

#include "policy/rollout/version_counts.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Responses of both versions on one route over the last eight seconds, in fixed
// windows. Only responses of the same windows are compared.
struct ResponseRing {
  static constexpr std::size_t WindowCount = 32;
  static constexpr Duration WindowTime = std::chrono::milliseconds{250};
  // Number of windows that are evaluated first; the older ones are used only if
  // these hold too few responses. They cover the two seconds within which the
  // system has to react to a fault.
  static constexpr std::size_t RecentCount = 8;

  struct Window {
    // Sequence number of the window since the epoch of the clock, or 0 if the
    // slot was never used.
    std::uint64_t Number = 0;
    VersionCounts New;
    VersionCounts Old;
  };

  std::array<Window, WindowCount> Windows;
};

} // namespace magnolia::policy

#endif
