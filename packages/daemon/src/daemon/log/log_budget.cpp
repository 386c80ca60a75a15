#include "daemon/log/log_budget.h"

#include <algorithm>
#include <chrono>

namespace magnolia::daemon {

bool takeLine(LogBudget &Budget, std::string_view Event, policy::TimePoint Now,
              std::uint64_t &Dropped) {
  auto Found = Budget.Events.find(Event);
  if (Found == Budget.Events.end()) {
    Found =
        Budget.Events
            .emplace(std::string(Event),
                     LogBudget::Entry{.Tokens = Budget.Burst, .FilledAt = Now})
            .first;
  }
  LogBudget::Entry &Entry = Found->second;
  const double Elapsed =
      std::chrono::duration<double>(Now - Entry.FilledAt).count();
  if (Elapsed > 0) {
    Entry.Tokens =
        std::min(Budget.Burst, Entry.Tokens + Elapsed * Budget.PerSecond);
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
