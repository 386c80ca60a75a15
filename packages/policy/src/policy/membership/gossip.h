#ifndef POLICY_MEMBERSHIP_GOSSIP_H
#define POLICY_MEMBERSHIP_GOSSIP_H

#include "policy/core/types.h"
#include "policy/membership/contact.h"
#include "policy/membership/member.h"
#include "policy/membership/member_facts.h"
#include "policy/membership/membership_action.h"
#include "policy/membership/membership_message.h"
#include "policy/membership/membership_options.h"
#include "policy/membership/membership_state.h"

#include <span>
#include <vector>

namespace magnolia::policy {

// Returns the state of a node that knows only itself. Self holds all addresses,
// the zone, the facts and the incarnation; its record version and state are set
// here.
[[nodiscard]] MembershipState
makeMembership(Member Self, TimePoint Now,
               const MembershipOptions &Options = {});

// Advances all timers to Now and returns the datagrams to send. Call it every
// 50 to 100 ms; it returns nothing if nothing is due. Apart from one shuffle
// per round, the cost of a call does not depend on the number of members.
[[nodiscard]] std::vector<MembershipAction>
tick(MembershipState &State, TimePoint Now, RandomEngine &Random);

// Handles an authenticated datagram and returns the datagrams to send in
// response.
[[nodiscard]] std::vector<MembershipAction>
onMessage(MembershipState &State, const MembershipMessage &Message,
          TimePoint Now, RandomEngine &Random);

// Sets the facts about this node, raises its record version and queues the
// change for gossip. Returns false, without effect, if nothing changed.
bool announce(MembershipState &State, const MemberFacts &Facts);

// Marks this node as left and returns the datagrams to send at once. The state
// remains usable, so that the change continues to be gossiped while the node
// drains.
[[nodiscard]] std::vector<MembershipAction>
leave(MembershipState &State, TimePoint Now, RandomEngine &Random);

// Adds seed nodes. Known ones and those beyond MaxContacts are ignored.
void addContacts(MembershipState &State, std::span<const Contact> Contacts);

// Returns all members in every state, including this node. Valid until the
// state is changed.
[[nodiscard]] std::span<const Member> members(const MembershipState &State);

// Returns the record of a member, or null if it is not known.
[[nodiscard]] const Member *findMember(const MembershipState &State,
                                       NodeId Node);

// Returns the record of this node. Its incarnation may be higher than the one
// given to makeMembership(): it is raised if the fleet has a record of an
// incarnation of this node whose clock was ahead. The sidecar uses this value.
[[nodiscard]] const Member &self(const MembershipState &State);

} // namespace magnolia::policy

#endif
