#ifndef POLICY_USAGE_RUN_COUNTS_H
#define POLICY_USAGE_RUN_COUNTS_H

#include "policy/usage/window_counts.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace magnolia::policy {

// Windows that one collector has.
struct CollectorProgress {
  NodeId Node = 0;
  // Incarnation of the collector. A new one has lost the counts.
  Incarnation Run = 0;
  UsageWindow Has = 0;
};

// Collectors to which a node sends its counts: the holder and a standby.
inline constexpr std::size_t UsageCollectors = 2;

// Runs that began at one backend server, as its sidecar counts them.
struct RunCounts {
  // Difference of the true time to the node's own clock, which also runs while
  // the instance is suspended. Empty until a collector has told the true time.
  std::optional<Duration> Offset;
  // Runs before that moment, and the start of the first of them.
  OrganisationCounts Unplaced;
  TimePoint UnplacedSince{};
  std::map<UsageWindow, OrganisationCounts> Windows;
  // Windows up to this one get no further counts.
  UsageWindow Closed = 0;
  std::array<CollectorProgress, UsageCollectors> Collectors;
  std::uint64_t Sequence = 0;
  // Runs that were not counted because a table was full, or dropped with a
  // window that no collector took in time.
  std::uint64_t Dropped = 0;
};

} // namespace magnolia::policy

#endif
