#ifndef POLICY_MEMBERSHIP_MEMBER_STATE_H
#define POLICY_MEMBERSHIP_MEMBER_STATE_H

#include <cstdint>

namespace magnolia::policy {

// State of a member in the view of one node. Of two records with the same
// incarnation and beat, the one with the higher state is the later one.
enum class MemberState : std::uint8_t {
  Alive,
  // Did not respond to pings and has not yet objected. Still receives work:
  // the routing reacts to failed requests much sooner.
  Suspect,
  // Did not object in time. Kept, because it may be behind a partition.
  Unreachable,
  // Announced its stop.
  Left,
};

} // namespace magnolia::policy

#endif
