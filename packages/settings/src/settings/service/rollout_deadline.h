#ifndef SETTINGS_SERVICE_ROLLOUT_DEADLINE_H
#define SETTINGS_SERVICE_ROLLOUT_DEADLINE_H

#include "policy/core/error.h"
#include "policy/core/types.h"

#include <optional>
#include <string_view>

namespace magnolia::settings {

// Deadline of a rollout as operators write it.
struct RolloutDeadline {
  // True if Offset counts from the start of the rollout, false if it counts
  // from the Unix epoch.
  bool Relative = false;
  policy::Duration Offset{};

  bool operator==(const RolloutDeadline &) const = default;
};

// Parses RFC 3339 in UTC with whole seconds (2026-12-04T18:00:00Z), or an
// offset from the start: +90s, +30m, +2h.
[[nodiscard]] std::optional<RolloutDeadline>
parseRolloutDeadline(std::string_view Text, policy::Error &LastError);

// Returns the wall-clock deadline of a rollout that starts now.
[[nodiscard]] policy::TimePoint deadlineAt(const RolloutDeadline &Deadline,
                                           policy::TimePoint Now);

// Returns the shortest time from start to deadline in which a rollout can
// complete.
[[nodiscard]] policy::Duration shortestRollout();

// Longest time from start to deadline.
inline constexpr policy::Duration LongestRollout = std::chrono::hours(24 * 30);

} // namespace magnolia::settings

#endif
