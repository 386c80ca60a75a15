#ifndef POLICY_USAGE_USAGE_MESSAGE_H
#define POLICY_USAGE_USAGE_MESSAGE_H

#include "policy/usage/window_counts.h"

#include <cstdint>
#include <vector>

namespace magnolia::policy {

// Counts that a node sends to a collector. The counts of a window replace those
// of its earlier messages, so that a lost message loses nothing.
struct UsageMessage {
  NodeId Node = 0;
  Incarnation Run = 0;
  // Rises with each message of this incarnation.
  std::uint64_t Sequence = 0;
  // Wall clock of the node when it sent the message.
  TimePoint Wall{};
  // Windows up to this one get no further counts from the node. 0 for a node
  // that does not know the true time.
  UsageWindow Closed = 0;
  // Windows that the collector may not have, in ascending order.
  std::vector<WindowCounts> Windows = {};
};

} // namespace magnolia::policy

#endif
