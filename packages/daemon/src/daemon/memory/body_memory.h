#ifndef DAEMON_MEMORY_BODY_MEMORY_H
#define DAEMON_MEMORY_BODY_MEMORY_H

#include "policy/memory/byte_budget.h"

#include <cstddef>
#include <mutex>

namespace magnolia::daemon {

// Budget for the bodies that a node holds, shared by all threads.
class BodyMemory {
public:
  explicit BodyMemory(std::size_t TotalBytes) : Budget{.Total = TotalBytes} {}

  // Changes what one body holds. Returns false and logs the state of the budget
  // if the body does not fit.
  [[nodiscard]] bool resize(std::size_t From, std::size_t To);
  [[nodiscard]] policy::ByteBudget state() const;

private:
  mutable std::mutex Mutex;
  policy::ByteBudget Budget;
};

} // namespace magnolia::daemon

#endif
