#include "daemon/net/unique_fd.h"

#include <unistd.h>

#include <array>
#include <atomic>
#include <cstddef>

namespace magnolia::daemon {

namespace {

// Two numbers that far apart share a counter, which only makes a loop register
// a descriptor once more than needed.
constexpr std::size_t Counters = 16'384;

std::array<std::atomic<std::uint32_t>, Counters> Closed;

std::atomic<std::uint32_t> &counterOf(int Fd) {
  return Closed[static_cast<std::size_t>(Fd) % Counters];
}

} // namespace

void closeDescriptor(int Fd) {
  // Before the number is free to be used again.
  counterOf(Fd).fetch_add(1, std::memory_order_release);
  ::close(Fd);
}

std::uint32_t closings(int Fd) {
  return counterOf(Fd).load(std::memory_order_acquire);
}

} // namespace magnolia::daemon
