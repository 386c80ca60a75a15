#ifndef POLICY_MEMORY_BYTE_BUDGET_H
#define POLICY_MEMORY_BYTE_BUDGET_H

#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Bytes that a node holds for the bodies of all requests and responses
// together.
struct ByteBudget {
  std::size_t Total = 0;
  std::size_t Held = 0;
  std::size_t Peak = 0;
  // Bodies that were refused because they did not fit.
  std::uint64_t Refused = 0;
};

// Changes what one body holds. A body that does not fit keeps what it holds,
// and the call returns false. A large body may grow to half of what the others
// leave free, so that bodies without end cannot take the place of usual ones;
// an eighth of the budget is reserved for small bodies.
[[nodiscard]] bool resize(ByteBudget &Budget, std::size_t From, std::size_t To);

// Returns the budget of a process with this limit on its memory, in bytes.
[[nodiscard]] std::size_t bodyBytesFor(std::size_t MemoryBytes);

} // namespace magnolia::policy

#endif
