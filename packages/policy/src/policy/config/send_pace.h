#ifndef POLICY_CONFIG_SEND_PACE_H
#define POLICY_CONFIG_SEND_PACE_H

#include "policy/core/types.h"

#include <cstddef>

namespace magnolia::policy {

// Schedule of the whole values that a node sends to nodes that fetch them: one
// after the other at the rate of the slowest link that is planned for. Copies
// that are sent at once arrive late together, and their receivers cannot pass
// them on meanwhile.
struct SendPace {
  std::size_t BytesPerSecond = 1'250'000;
  // The link carries the previous value until then.
  TimePoint Next;
};

// Returns 0 if the value may be sent now, else the time to wait.
[[nodiscard]] Duration takeSend(SendPace &Pace, std::size_t Bytes,
                                TimePoint Now);

} // namespace magnolia::policy

#endif
