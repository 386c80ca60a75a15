#ifndef POLICY_MEMBERSHIP_MEMBERSHIP_ACTION_H
#define POLICY_MEMBERSHIP_MEMBERSHIP_ACTION_H

#include "policy/core/types.h"
#include "policy/membership/membership_message.h"

#include <cstdint>
#include <string>

namespace magnolia::policy {

// A datagram to send.
struct MembershipAction {
  // 0 if the target is a contact whose identity is not known.
  NodeId Target = 0;
  std::string Address;
  std::uint16_t GossipPort = 0;
  MembershipMessage Message;
};

} // namespace magnolia::policy

#endif
