#ifndef POLICY_MEMBERSHIP_MEMBER_STATE_H
#define POLICY_MEMBERSHIP_MEMBER_STATE_H

#include <cstdint>

namespace magnolia::policy {

// State of a member in the view of one node. Of two records with the same
// incarnation and record version, the one with the higher state is newer.
enum class MemberState : std::uint8_t {
  Alive,
  // Did not respond to pings and has not yet refuted the suspicion. Still
  // receives requests, because the routing reacts to failed requests much
  // sooner.
  Suspect,
  // Did not refute the suspicion in time. The record is kept, because the
  // member may be on the other side of a partition.
  Unreachable,
  // Announced that it stops.
  Left,
};

} // namespace magnolia::policy

#endif
