#ifndef POLICY_FLEET_REPAIR_STATE_H
#define POLICY_FLEET_REPAIR_STATE_H

#include "policy/core/types.h"
#include "policy/fleet/repair_options.h"

#include <cstdint>

namespace magnolia::policy {

// Schedule of the anti-entropy exchanges of the configuration on one node.
struct RepairState {
  RepairOptions Options;
  TimePoint Next;
  std::uint64_t Started = 0;
  // Differences seen before the next exchange was due.
  std::uint64_t Postponed = 0;
};

} // namespace magnolia::policy

#endif
