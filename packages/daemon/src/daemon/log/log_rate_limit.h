#ifndef DAEMON_LOG_LOG_RATE_LIMIT_H
#define DAEMON_LOG_LOG_RATE_LIMIT_H

#include "policy/core/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// Limits the rate of log lines per event by a token bucket, so that a burst of
// one event neither fills the log nor hides other events. Not thread-safe.
struct LogRateLimit {
  // Capacity of the token bucket in lines, and lines added per second.
  double Burst = 100;
  double PerSecond = 20;

  struct Entry {
    double Tokens = 0;
    policy::TimePoint FilledAt{};
    // Lines omitted since the last line that was written.
    std::uint64_t Dropped = 0;
  };

  // Event names are literals in the code, so their number is bounded.
  std::map<std::string, Entry, std::less<>> Events;
};

// Returns whether a line of the event may be written, and sets Dropped to the
// number of lines of the event that were omitted before it.
[[nodiscard]] bool admitLine(LogRateLimit &RateLimit, std::string_view Event,
                             policy::TimePoint Now, std::uint64_t &Dropped);

} // namespace magnolia::daemon

#endif
