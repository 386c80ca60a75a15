#ifndef POLICY_FLEET_REPAIR_OPTIONS_H
#define POLICY_FLEET_REPAIR_OPTIONS_H

#include "policy/core/types.h"

#include <chrono>
#include <cstddef>

namespace magnolia::policy {

// Intervals of the anti-entropy of the configuration. A small table is compared
// often, so that a single lost push is repaired within the required 5 s; a
// large one is compared less often to limit the traffic.
struct RepairOptions {
  std::size_t SmallTable = 256;
  Duration SmallInterval = std::chrono::milliseconds(500);
  Duration LargeInterval = std::chrono::seconds(5);
};

} // namespace magnolia::policy

#endif
