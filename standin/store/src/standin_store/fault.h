#ifndef STANDIN_STORE_FAULT_H
#define STANDIN_STORE_FAULT_H

#include <chrono>
#include <cstdint>

namespace magnolia::standin {

enum class FaultMode : std::uint8_t {
  None,
  // Every call, and every waiting watch, gets status 503.
  Down,
  // Every call is carried out after the delay.
  Slow,
  // Writes are carried out after the delay, then the connection breaks
  // without a response.
  LoseResponses,
};

struct Fault {
  FaultMode Mode = FaultMode::None;
  std::chrono::milliseconds Delay{0};
  // The fault ends after this number of affected calls; 0 for no limit.
  std::uint64_t Count = 0;
};

} // namespace magnolia::standin

#endif
