#ifndef DAEMON_CONTROL_CLOCK_H
#define DAEMON_CONTROL_CLOCK_H

#include "policy/core/types.h"

#include <chrono>

namespace magnolia::daemon {

// Time since an arbitrary start, for timers.
[[nodiscard]] inline policy::TimePoint steadyNow() {
  return policy::TimePoint(std::chrono::duration_cast<policy::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

// Time since the Unix epoch, for records that several nodes read.
[[nodiscard]] inline policy::TimePoint wallNow() {
  return policy::TimePoint(std::chrono::duration_cast<policy::Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace magnolia::daemon

#endif
