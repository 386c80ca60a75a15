#ifndef DAEMON_NET_CLOCK_H
#define DAEMON_NET_CLOCK_H

#include "policy/core/types.h"

#include <chrono>

namespace magnolia::daemon {

// Returns the current time of the monotonic clock.
[[nodiscard]] inline policy::TimePoint now() {
  return policy::TimePoint(std::chrono::duration_cast<policy::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

// Returns a new incarnation: the wall-clock time in microseconds since the
// epoch.
[[nodiscard]] inline policy::Incarnation wallClockIncarnation() {
  return static_cast<policy::Incarnation>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace magnolia::daemon

#endif
