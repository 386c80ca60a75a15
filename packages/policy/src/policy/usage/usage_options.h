#ifndef POLICY_USAGE_USAGE_OPTIONS_H
#define POLICY_USAGE_USAGE_OPTIONS_H

#include "policy/core/types.h"

#include <chrono>

namespace magnolia::policy {

// Times of the usage report. All nodes of a fleet use the same.
struct UsageOptions {
  Duration Window = std::chrono::seconds(5);
  // Time after the end of a window at which its report is due.
  Duration Delay = std::chrono::seconds(10);
  // Time after the start of a write by the holder in which it may send.
  Duration Lease = std::chrono::seconds(3);
};

// Returns the interval at which a node sends its counts.
[[nodiscard]] inline Duration sendInterval(const UsageOptions &Options) {
  constexpr int MessagesPerWindow = 5;
  return Options.Window / MessagesPerWindow;
}

// Returns the longest wait after the end of a window for the counts of nodes
// that have not sent them. It leaves more than half of the delay for a new
// holder.
[[nodiscard]] inline Duration countWait(const UsageOptions &Options) {
  constexpr int Part = 3;
  return Options.Delay / Part;
}

} // namespace magnolia::policy

#endif
