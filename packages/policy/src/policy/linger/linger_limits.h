#ifndef POLICY_LINGER_LINGER_LIMITS_H
#define POLICY_LINGER_LINGER_LIMITS_H

#include "policy/core/types.h"

#include <chrono>
#include <cstddef>

namespace magnolia::policy {

// Limits on how long a connection stays open after the node has ended its
// output.
struct LingerLimits {
  // Bytes of input that are read and dropped; with 0 none is read. Only a
  // remote side that was told of the close may have its input dropped: any
  // other one has to see that its request was not read.
  std::size_t DropBytes = 0;
  // Time after the output has arrived in which the remote side may still send
  // because it has not read the output yet.
  Duration Quiet = std::chrono::milliseconds(500);
  // Maximum time in all; with 0 the connection is closed at once.
  Duration Longest = std::chrono::seconds(5);
};

// Closes a connection whose remote side takes no more output.
inline constexpr LingerLimits CloseAtOnce{.Longest = Duration{0}};

} // namespace magnolia::policy

#endif
