#include "daemon/net/unique_fd.h"

#include <unistd.h>

#include <array>
#include <atomic>
#include <cstddef>

namespace magnolia::daemon {

namespace {

// Number of close counters. Descriptor numbers this far apart share a counter,
// which only makes a loop register a descriptor once more than needed.
constexpr std::size_t CounterCount = 16'384;

std::array<std::atomic<std::uint32_t>, CounterCount> CloseCounts;

std::atomic<std::uint32_t> &counterOf(int Fd) {
  return CloseCounts[static_cast<std::size_t>(Fd) % CounterCount];
}

} // namespace

void closeDescriptor(int Fd) {
  // The count must change before the number can be reused.
  counterOf(Fd).fetch_add(1, std::memory_order_release);
  ::close(Fd);
}

std::uint32_t closeCount(int Fd) {
  return counterOf(Fd).load(std::memory_order_acquire);
}

} // namespace magnolia::daemon
