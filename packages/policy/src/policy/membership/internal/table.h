#ifndef POLICY_MEMBERSHIP_INTERNAL_TABLE_H
#define POLICY_MEMBERSHIP_INTERNAL_TABLE_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/membership/membership_state.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace magnolia::policy::internal {

// Where a record came from.
enum class Source : std::uint8_t {
  // The member itself sent it.
  Direct,
  // An update in a datagram.
  Gossip,
  // A page of an exchange; not gossiped on.
  Sync,
};

[[nodiscard]] std::optional<std::uint32_t> indexOf(const MemberTable &Table,
                                                   NodeId Node);

// Adds a member; the caller has checked the bounds.
void insert(MemberTable &Table, const Member &Record, TimePoint Now);

// Replaces the record at the index and keeps all tallies right.
void replace(MemberTable &Table, std::uint32_t Index, const Member &Record,
             TimePoint Now);

void erase(MemberTable &Table, std::uint32_t Index);

// Takes in a record from another node where it is newer than the one held.
// Returns whether the table changed.
bool merge(MembershipState &State, const Member &Record, Source From,
           TimePoint Now);

// Changes the state of a member by own observation.
void setState(MembershipState &State, std::uint32_t Index, MemberState To,
              TimePoint Now);

// Notes that the member responded. Where enough members of a lost zone did, the
// members lost with the zone become alive again without one message each: the
// partition was at fault and not they. Those that died meanwhile are found by
// the pings of the whole fleet within seconds.
void noteHeard(MembershipState &State, NodeId Node, TimePoint Now);

// Marks zones as lost or found after the tallies changed.
void checkZone(MembershipState &State, std::uint32_t Zone, TimePoint Now);

// Length of a suspicion at the present fleet size.
[[nodiscard]] Duration suspicionTime(const MembershipState &State);

// Raises the own beat so that the own record replaces all others of this run.
void raiseBeat(MembershipState &State);

// Queues the member's present record for gossip.
void queueUpdate(MembershipState &State, NodeId Node);

void dropUpdate(MembershipState &State, NodeId Node);

} // namespace magnolia::policy::internal

#endif
