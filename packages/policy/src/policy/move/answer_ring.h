#ifndef POLICY_MOVE_ANSWER_RING_H
#define POLICY_MOVE_ANSWER_RING_H

#include "policy/move/version_counts.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Answers of both versions on one route in the last eight seconds, in windows:
// only answers of the same windows are compared.
struct AnswerRing {
  static constexpr std::size_t WindowCount = 32;
  static constexpr Duration WindowTime = std::chrono::milliseconds{250};
  // Windows that are judged first; the others only where these hold too few
  // answers. They cover the two seconds within which a fault is acted upon.
  static constexpr std::size_t RecentCount = 8;

  struct Window {
    // Time of the window; 0 where it was never used.
    std::uint64_t Number = 0;
    VersionCounts New;
    VersionCounts Old;
  };

  std::array<Window, WindowCount> Windows;
};

} // namespace magnolia::policy

#endif
