#ifndef STANDIN_STORE_FAULT_H
#define STANDIN_STORE_FAULT_H

#include <chrono>
#include <cstdint>

namespace magnolia::standin {

enum class FaultMode : std::uint8_t {
  None,
  // Every call and every waiting watch fails with status 503.
  Down,
  // Every call is executed after the delay.
  Slow,
  // Writes are executed after the delay. Then the connection closes without a
  // response.
  LoseResponses,
};

struct Fault {
  FaultMode Mode = FaultMode::None;
  std::chrono::milliseconds Delay{0};
  // Number of affected calls after which the fault ends; 0 for no limit.
  std::uint64_t Count = 0;
};

} // namespace magnolia::standin

#endif
