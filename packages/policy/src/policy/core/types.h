#ifndef POLICY_CORE_TYPES_H
#define POLICY_CORE_TYPES_H

#include <chrono>
#include <cstdint>
#include <random>
#include <string_view>

namespace magnolia::policy {

// Length of time with nanosecond resolution.
using Duration = std::chrono::nanoseconds;

// Clock without a time source: callers pass the current time to the policy
// functions.
struct AbstractClock {
  // Names required by the Clock requirements of the standard.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<AbstractClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};

using TimePoint = AbstractClock::time_point;

// Random number generator, seeded and owned by the caller.
using RandomEngine = std::mt19937_64;

// Identifier of a node: the hash of its address and peer port, so that it is
// stable across restarts. 0 means no node.
using NodeId = std::uint64_t;

// Distinguishes the process lifetimes of a node or backend server: a later
// start has a higher value. 0 means unknown.
using Incarnation = std::uint64_t;

// Returns the identifier of the node that listens for peers on this address and
// port.
[[nodiscard]] NodeId nodeIdOf(std::string_view Address, std::uint16_t PeerPort);

// Returns a stable 64-bit hash, equal on all nodes.
[[nodiscard]] std::uint64_t hashOf(std::string_view Text,
                                   std::uint64_t Seed = 0);

} // namespace magnolia::policy

#endif
