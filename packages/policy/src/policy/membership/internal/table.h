#ifndef POLICY_MEMBERSHIP_INTERNAL_TABLE_H
#define POLICY_MEMBERSHIP_INTERNAL_TABLE_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/membership/membership_state.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace magnolia::policy::internal {

// Origin of a record.
enum class Source : std::uint8_t {
  // The member itself sent it.
  Direct,
  // An update in a datagram.
  Gossip,
  // A page of an exchange; the record is not gossiped.
  Sync,
};

[[nodiscard]] std::optional<std::uint32_t> indexOf(const MemberTable &Table,
                                                   NodeId Node);

// Adds a member. The caller has checked the limits.
void insert(MemberTable &Table, const Member &Record, TimePoint Now);

// Replaces the record at the index and updates all counts.
void replace(MemberTable &Table, std::uint32_t Index, const Member &Record,
             TimePoint Now);

void erase(MemberTable &Table, std::uint32_t Index);

// Merges a record from another node if it is newer than the one in the table.
// Returns true if the table changed.
bool merge(MembershipState &State, const Member &Record, Source From,
           TimePoint Now);

// Sets the state of a member from an observation of this node.
void setState(MembershipState &State, std::uint32_t Index, MemberState To,
              TimePoint Now);

// Records that the member sent a message. Once enough members of a lost zone
// have done so, all members that were lost with the zone become alive again
// without a message each, because the partition was the cause. The pings of the
// whole fleet detect those that have failed meanwhile within seconds.
void markResponding(MembershipState &State, NodeId Node, TimePoint Now);

// Marks the zone as lost or as found after its counts changed.
void checkZone(MembershipState &State, std::uint32_t Zone, TimePoint Now);

// Returns the duration of a suspicion at the current fleet size.
[[nodiscard]] Duration suspicionTime(const MembershipState &State);

// Raises the record version of this node, so that its record replaces all
// others of this incarnation.
void raiseRecordVersion(MembershipState &State);

// Queues the member's current record for gossip.
void queueUpdate(MembershipState &State, NodeId Node);

void dropUpdate(MembershipState &State, NodeId Node);

} // namespace magnolia::policy::internal

#endif
