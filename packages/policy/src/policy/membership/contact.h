#ifndef POLICY_MEMBERSHIP_CONTACT_H
#define POLICY_MEMBERSHIP_CONTACT_H

#include <cstdint>
#include <string>

namespace magnolia::policy {

// Gossip address of a seed node, from the store or the settings.
struct Contact {
  std::string Address;
  std::uint16_t GossipPort = 0;

  bool operator==(const Contact &) const = default;
};

} // namespace magnolia::policy

#endif
