#ifndef POLICY_USAGE_USAGE_TOTALS_H
#define POLICY_USAGE_USAGE_TOTALS_H

#include "policy/usage/window_counts.h"

#include <cstdint>
#include <map>

namespace magnolia::policy {

// Windows of one node that may still change. At most MaxKeptWindows.
struct OpenCounts {
  Incarnation Run = 0;
  std::uint64_t Sequence = 0;
  // Windows up to this one are part of the sums.
  UsageWindow Closed = 0;
  std::map<UsageWindow, OrganisationCounts> Windows = {};
  TimePoint HeardAt{};
};

// Counts of the fleet that a collector has received.
struct UsageTotals {
  std::map<NodeId, OpenCounts> Nodes;
  // Sums of the closed windows, at most MaxKeptWindows.
  std::map<UsageWindow, OrganisationCounts> Sums;
  // Windows up to this one were recorded, or are too old.
  UsageWindow Recorded = 0;
  // Requests that were not added because a table was full or their window was
  // recorded before they arrived.
  std::uint64_t Dropped = 0;
};

} // namespace magnolia::policy

#endif
