#include "daemon/memory/body_memory.h"

#include "daemon/log/log.h"

#include <cstdint>

namespace magnolia::daemon {

bool BodyMemory::resize(std::size_t From, std::size_t To) {
  policy::ByteBudget After;
  {
    const std::lock_guard Lock(Mutex);
    if (policy::resize(Budget, From, To)) {
      return true;
    }
    After = Budget;
  }
  log(LogLevel::Warning, "no memory for a body",
      {{"bytes", std::uint64_t{To}},
       {"held", std::uint64_t{After.Held}},
       {"total", std::uint64_t{After.Total}}});
  return false;
}

policy::ByteBudget BodyMemory::state() const {
  const std::lock_guard Lock(Mutex);
  return Budget;
}

} // namespace magnolia::daemon
