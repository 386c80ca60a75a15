#ifndef DAEMON_USAGE_BOOT_CLOCK_H
#define DAEMON_USAGE_BOOT_CLOCK_H

#include "policy/core/types.h"

#include <time.h>

#include <chrono>

namespace magnolia::daemon {

// Time since the start of the instance. Unlike the steady clock, this one also
// runs while the instance is suspended, so that a holder that resumes finds its
// lease over.
[[nodiscard]] inline policy::TimePoint bootNow() {
  timespec Time{};
  (void)::clock_gettime(CLOCK_BOOTTIME, &Time);
  return policy::TimePoint(std::chrono::seconds(Time.tv_sec) +
                           std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace magnolia::daemon

#endif
