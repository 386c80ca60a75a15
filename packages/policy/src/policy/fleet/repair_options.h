#ifndef POLICY_FLEET_REPAIR_OPTIONS_H
#define POLICY_FLEET_REPAIR_OPTIONS_H

#include "policy/core/types.h"

#include <chrono>
#include <cstddef>

namespace magnolia::policy {

// Pace of the anti-entropy of the configuration. A small table is compared
// often, so that one lost push is repaired within the 5 s of today; a large
// one less often, to bound the traffic.
struct RepairOptions {
  std::size_t SmallTable = 256;
  Duration SmallInterval = std::chrono::milliseconds(500);
  Duration LargeInterval = std::chrono::seconds(5);
};

} // namespace magnolia::policy

#endif
