#ifndef POLICY_CONFIG_PUSH_OPTIONS_H
#define POLICY_CONFIG_PUSH_OPTIONS_H

#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Fan-out of an entry that is new to this node.
struct PushOptions {
  // Number of random members of the node's own zone. With three, a push that
  // each receiver forwards once reaches about 94% of a zone; anti-entropy
  // exchanges repair the rest.
  std::size_t LocalFanout = 3;
  // Number of random members of each other zone; used only by the origin.
  std::size_t RemoteFanout = 1;
  // True if this node read the entry from the store or received it from an
  // operator, and false if another node pushed it.
  bool Origin = false;
};

// Number of forwarding rounds of a new entry. 650 members of a zone need about
// seven rounds at a fan-out of three.
inline constexpr std::uint32_t PushRounds = 12;

} // namespace magnolia::policy

#endif
