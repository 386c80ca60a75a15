#include "daemon/log/log_rate_limit.h"

#include <algorithm>
#include <chrono>

namespace magnolia::daemon {

bool admitLine(LogRateLimit &RateLimit, std::string_view Event,
               policy::TimePoint Now, std::uint64_t &Dropped) {
  auto Found = RateLimit.Events.find(Event);
  if (Found == RateLimit.Events.end()) {
    Found = RateLimit.Events
                .emplace(std::string(Event),
                         LogRateLimit::Entry{.Tokens = RateLimit.Burst,
                                             .FilledAt = Now})
                .first;
  }
  LogRateLimit::Entry &Entry = Found->second;
  const double Elapsed =
      std::chrono::duration<double>(Now - Entry.FilledAt).count();
  if (Elapsed > 0) {
    Entry.Tokens =
        std::min(RateLimit.Burst, Entry.Tokens + Elapsed * RateLimit.PerSecond);
    Entry.FilledAt = Now;
  }
  if (Entry.Tokens < 1) {
    ++Entry.Dropped;
    return false;
  }
  Entry.Tokens -= 1;
  Dropped = Entry.Dropped;
  Entry.Dropped = 0;
  return true;
}

} // namespace magnolia::daemon
