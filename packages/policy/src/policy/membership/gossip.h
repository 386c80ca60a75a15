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

// State of a node that knows only itself. Self names all addresses, the zone,
// the facts and the incarnation; its beat and state are set here.
[[nodiscard]] MembershipState
makeMembership(Member Self, TimePoint Now,
               const MembershipOptions &Options = {});

// Advances all timers to Now and returns the datagrams to send. Call it every
// 50 to 100 ms; it sends nothing where nothing is due. The cost of one call
// doesn't depend on the number of members, but for one shuffle per round.
[[nodiscard]] std::vector<MembershipAction>
tick(MembershipState &State, TimePoint Now, RandomEngine &Random);

// Handles a datagram whose authentication was checked; returns the answers.
[[nodiscard]] std::vector<MembershipAction>
onMessage(MembershipState &State, const MembershipMessage &Message,
          TimePoint Now, RandomEngine &Random);

// Sets the facts about this node, raises its beat and queues the change for
// gossip. Returns false, without effect, where nothing changed.
bool announce(MembershipState &State, const MemberFacts &Facts);

// Announces the stop of this node: the datagrams to send at once. The state
// stays usable, so that the change is gossiped on while the node drains.
[[nodiscard]] std::vector<MembershipAction>
leave(MembershipState &State, TimePoint Now, RandomEngine &Random);

// Adds seed nodes; known ones and those over MaxContacts are ignored.
void addContacts(MembershipState &State, std::span<const Contact> Contacts);

// All members in every state, this node included. Valid until the state is
// changed.
[[nodiscard]] std::span<const Member> members(const MembershipState &State);

// Record of one member; null where it is not known.
[[nodiscard]] const Member *findMember(const MembershipState &State,
                                       NodeId Node);

// Record of this node. Its incarnation may be higher than the one given to
// makeMembership(): it is raised where the fleet remembers a run of this node
// with a clock that was ahead. The sidecar uses this value.
[[nodiscard]] const Member &self(const MembershipState &State);

} // namespace magnolia::policy

#endif
