#ifndef POLICY_CONFIG_PUSH_OPTIONS_H
#define POLICY_CONFIG_PUSH_OPTIONS_H

#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Fan-out of one entry that was new to this node.
struct PushOptions {
  // Random members of the own zone. With three, a push that every receiver
  // forwards once reaches about 94% of a zone; digests repair the rest.
  std::size_t LocalFanout = 3;
  // Random members of each other zone, pushed to by the origin only.
  std::size_t RemoteFanout = 1;
  // True where this node read the entry from the store or from an operator
  // and not from another node's push.
  bool Origin = false;
};

// Forwarding rounds that a pushed entry starts with. 650 members of a zone
// need about seven rounds at a fan-out of three.
inline constexpr std::uint32_t PushRounds = 12;

} // namespace magnolia::policy

#endif
