#ifndef POLICY_MOVE_LOCAL_BRAKE_H
#define POLICY_MOVE_LOCAL_BRAKE_H

#include "policy/core/types.h"
#include "policy/move/verdict.h"
#include "policy/move/version_counts.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::policy {

enum class MoveSide : std::uint8_t { Old, New };

// The brake of one entry node on one move: its own counts of the last seconds,
// per route and version, and what it concludes from them at once. Change it
// with the functions of brake.h only.
struct LocalBrake {
  static constexpr std::size_t MaxRoutes = 64;
  static constexpr std::size_t WindowCount = 32;

  // Counts of one window; smaller than VersionCounts, as there are many.
  struct Window {
    std::uint64_t Number = 0;
    std::uint16_t Requests = 0;
    std::uint16_t Failures = 0;
    std::array<std::uint16_t, VersionCounts::BucketCount> Latency{};
  };

  struct RouteWindows {
    std::string Route;
    std::array<Window, WindowCount> New;
    std::array<Window, WindowCount> Old;
    // Totals since the last report to the driver.
    VersionCounts ReportNew;
    VersionCounts ReportOld;
    // Since when the new version is seen to be slow without interruption.
    std::optional<TimePoint> SlowSince;
  };

  std::string MoveId;
  std::vector<RouteWindows> Routes;
  Verdict Held;
  // The new version gets no work until then, while a first failure is checked.
  TimePoint PausedUntil;
  std::uint64_t NextReport = 1;
  std::uint64_t Pauses = 0;
  // Answers not counted because there are too many routes.
  std::uint64_t OverLimit = 0;
};

} // namespace magnolia::policy

#endif
