#ifndef POLICY_USAGE_WINDOW_COUNTS_H
#define POLICY_USAGE_WINDOW_COUNTS_H

#include "policy/core/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace magnolia::policy {

// Number of a window: window k begins k times the length of a window after the
// Unix epoch in true time.
using UsageWindow = std::uint64_t;

// Windows that a node keeps until the collectors have them.
inline constexpr std::size_t MaxKeptWindows = 12;
// Organisations in one window. Requests of further ones are not counted.
inline constexpr std::size_t MaxUsageOrganisations = 4096;

using OrganisationCounts = std::map<std::string, std::uint64_t, std::less<>>;

// Requests of each organisation that backend servers began to run in a window.
struct WindowCounts {
  UsageWindow Window = 0;
  OrganisationCounts Counts;

  bool operator==(const WindowCounts &) const = default;
};

// Returns the window of a moment; 0 before the Unix epoch.
[[nodiscard]] inline UsageWindow windowOf(TimePoint True, Duration Length) {
  return True.time_since_epoch().count() < 0
             ? 0
             : static_cast<UsageWindow>(True.time_since_epoch() / Length);
}

[[nodiscard]] inline TimePoint endOf(UsageWindow Window, Duration Length) {
  return TimePoint(Length * static_cast<Duration::rep>(Window + 1));
}

// Adds counts, up to the maximum number of organisations. Returns the requests
// that were left out.
std::uint64_t addCounts(OrganisationCounts &Sum,
                        const OrganisationCounts &Added);

} // namespace magnolia::policy

#endif
