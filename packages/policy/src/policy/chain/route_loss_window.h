#ifndef POLICY_CHAIN_ROUTE_LOSS_WINDOW_H
#define POLICY_CHAIN_ROUTE_LOSS_WINDOW_H

#include "policy/chain/route_counts.h"
#include "policy/core/types.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace magnolia::policy {

// Counts of the routes whose requests ran at one backend server.
struct RouteLossWindow {
  static constexpr std::size_t MaxRoutes = 64;
  // The buckets together are one second long.
  static constexpr std::size_t Buckets = 10;
  static constexpr Duration Bucket = std::chrono::milliseconds(100);

  struct Part {
    std::uint64_t Number = 0;
    RouteCounts Counts;
  };

  struct Entry {
    std::string Route;
    std::array<Part, Buckets> Parts{};
    TimePoint Last{};
  };

  std::vector<Entry> Routes;
  // Runs that were not counted because the window was full of newer routes.
  std::uint64_t Refused = 0;
};

} // namespace magnolia::policy

#endif
