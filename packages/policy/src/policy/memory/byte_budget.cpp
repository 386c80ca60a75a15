#include "policy/memory/byte_budget.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

constexpr std::size_t SmallBodyBytes = std::size_t{64} * 1024;
// Part of the budget that only small bodies may use.
constexpr std::size_t ReserveDivisor = 8;
// A body may exist twice, while it is copied into the frames of a connection;
// with the rest of the process this stays below two thirds of the memory.
constexpr std::size_t MemoryDivisor = 4;

bool fits(const ByteBudget &Budget, std::size_t Others, std::size_t Wanted) {
  if (Wanted <= SmallBodyBytes) {
    return Others <= Budget.Total && Wanted <= Budget.Total - Others;
  }
  const std::size_t Limit = Budget.Total - Budget.Total / ReserveDivisor;
  return Others <= Limit && Wanted <= (Limit - Others) / 2;
}

} // namespace

bool resize(ByteBudget &Budget, std::size_t From, std::size_t To) {
  const std::size_t Others = Budget.Held - From;
  if (To > From && !fits(Budget, Others, To)) {
    ++Budget.Refused;
    return false;
  }
  Budget.Held = Others + To;
  Budget.Peak = std::max(Budget.Peak, Budget.Held);
  return true;
}

std::size_t bodyBytesFor(std::size_t MemoryBytes) {
  return MemoryBytes / MemoryDivisor;
}

} // namespace magnolia::policy
