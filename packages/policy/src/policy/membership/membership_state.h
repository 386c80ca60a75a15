#ifndef POLICY_MEMBERSHIP_MEMBERSHIP_STATE_H
#define POLICY_MEMBERSHIP_MEMBERSHIP_STATE_H

#include "policy/core/types.h"
#include "policy/membership/contact.h"
#include "policy/membership/member_table.h"
#include "policy/membership/membership_counters.h"
#include "policy/membership/membership_options.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnolia::policy {

// State of the membership protocol on one node. Created by makeMembership() and
// changed only by the functions of gossip.h and sync.h.
struct MembershipState {
  // The direct ping of the current period.
  struct Probe {
    NodeId Target = 0;
    std::uint64_t Sequence = 0;
    TimePoint SentAt;
    bool IndirectSent = false;
  };

  // A ping sent on behalf of another node.
  struct Relay {
    std::uint64_t Sequence = 0;
    NodeId Requester = 0;
    std::uint64_t RequesterSequence = 0;
    NodeId Target = 0;
    TimePoint Expires;
  };

  // Updates are ordered by the number of their transmissions so far and then by
  // arrival, so that the newest updates are sent first.
  struct UpdateQueue {
    // Number of transmissions so far, and arrival number.
    using Rank = std::pair<std::uint32_t, std::uint64_t>;

    std::map<Rank, NodeId> Order;
    std::unordered_map<NodeId, Rank> Ranks;
    std::uint64_t NextArrival = 0;
    // Updates that may be sent now; refilled at UpdatesPerSecond.
    double Tokens = 0.0;
    TimePoint RefilledAt;
  };

  MembershipOptions Options;
  NodeId Self = 0;
  MemberTable Table;
  UpdateQueue Updates;
  std::vector<Contact> Contacts;
  std::optional<Probe> CurrentProbe;
  std::vector<Relay> Relays;
  // Suspects and the time at which each becomes unreachable.
  std::unordered_map<NodeId, TimePoint> Suspicions;
  // Shuffled members still to be pinged in this round.
  std::vector<NodeId> ProbeOrder;
  std::uint64_t NextSequence = 1;
  std::size_t NextExpiryCheck = 0;
  std::optional<TimePoint> LastTick;
  TimePoint NextProbe;
  TimePoint NextGossip;
  TimePoint NextUnreachable;
  TimePoint NextContact;
  TimePoint NextSync;
  // Interval between exchanges; grows up to SyncPeriod.
  Duration SyncDelay{0};
  // Last member that sent a digest different from that of this node.
  NodeId DifferingMember = 0;
  bool Synchronized = false;
  bool Leaving = false;
  MembershipCounters Counters;
};

} // namespace magnolia::policy

#endif
