#ifndef POLICY_CONFIG_ANNOUNCEMENT_H
#define POLICY_CONFIG_ANNOUNCEMENT_H

#include "policy/config/key_revision.h"
#include "policy/core/types.h"

#include <cstdint>

namespace magnolia::policy {

// Message of a node that it holds a revision of a key.
struct Announcement {
  KeyRevision Held;
  NodeId From = 0;
  // Forwarding rounds left; 0 if an exchange told it.
  std::uint32_t Rounds = 0;
};

} // namespace magnolia::policy

#endif
