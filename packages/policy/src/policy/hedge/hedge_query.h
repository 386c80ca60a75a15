#ifndef POLICY_HEDGE_HEDGE_QUERY_H
#define POLICY_HEDGE_HEDGE_QUERY_H

#include "policy/core/types.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace magnolia::policy {

// Request whose first copy has not been answered within its delay.
struct HedgeQuery {
  std::string_view Route;
  // True if the node stops.
  bool Stopping = false;
  // Servers that copies of the request were sent to.
  std::span<const NodeId> Tried{};
  // Versions that may receive the hedge; empty if any may.
  std::span<const std::uint32_t> Versions{};
};

} // namespace magnolia::policy

#endif
