#ifndef DAEMON_LOG_LOG_BUDGET_H
#define DAEMON_LOG_LOG_BUDGET_H

#include "policy/core/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// Bounds the lines of each event, so that a burst of one event neither fills
// the log nor hides the others. Guard it with one mutex.
struct LogBudget {
  // Lines of one event that may come at once, and per second after that.
  double Burst = 100;
  double PerSecond = 20;

  struct Entry {
    double Tokens = 0;
    policy::TimePoint FilledAt{};
    // Lines left out since the last one that was written.
    std::uint64_t Dropped = 0;
  };

  // Events are named in the code, so their number is bounded.
  std::map<std::string, Entry, std::less<>> Events;
};

// True where a line of the event may be written. Dropped is the number of
// lines of the event that were left out before it.
[[nodiscard]] bool takeLine(LogBudget &Budget, std::string_view Event,
                            policy::TimePoint Now, std::uint64_t &Dropped);

} // namespace magnolia::daemon

#endif
