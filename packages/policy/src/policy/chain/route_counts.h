#ifndef POLICY_CHAIN_ROUTE_COUNTS_H
#define POLICY_CHAIN_ROUTE_COUNTS_H

#include <cstdint>

namespace magnolia::policy {

// Runs of one route that ended in the last second, and those of them that
// failed after a nested call was rejected.
struct RouteCounts {
  std::uint32_t Runs = 0;
  std::uint32_t Losses = 0;

  bool operator==(const RouteCounts &) const = default;
};

} // namespace magnolia::policy

#endif
