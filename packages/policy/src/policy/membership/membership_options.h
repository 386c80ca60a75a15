#ifndef POLICY_MEMBERSHIP_MEMBERSHIP_OPTIONS_H
#define POLICY_MEMBERSHIP_MEMBERSHIP_OPTIONS_H

#include "policy/core/types.h"

#include <chrono>
#include <cstddef>

namespace magnolia::policy {

// Timing and bounds of the membership protocol.
struct MembershipOptions {
  // One direct ping per period.
  Duration ProbePeriod = std::chrono::seconds{1};
  // Wait for the direct answer before indirect pings; above the round trip
  // between the most distant regions.
  Duration ProbeTimeout = std::chrono::milliseconds{400};
  std::size_t IndirectProbes = 3;
  // A suspicion lasts this many periods times log10 of the member count.
  double SuspicionFactor = 4.0;
  Duration GossipPeriod = std::chrono::milliseconds{200};
  std::size_t GossipFanout = 2;
  // An update is sent this many times ceil(log10 of the member count).
  std::size_t RetransmitFactor = 4;
  // Updates per datagram; with the bytes below the datagram stays under
  // 1,200 bytes with authentication and the other fields.
  std::size_t MaxUpdates = 16;
  std::size_t MaxUpdateBytes = 900;
  // Updates sent a second over all datagrams, which bounds the traffic after a
  // partition heals: at about 90 bytes each 7 KB/s of the 23 KB/s that a node
  // may spend on control.
  double UpdatesPerSecond = 80.0;
  // One ping per period to a random unreachable member.
  Duration UnreachablePeriod = std::chrono::seconds{5};
  // One ping per period to a random contact, which joins fleets that lost
  // sight of each other.
  Duration ContactPeriod = std::chrono::seconds{30};
  // While no other member is known.
  Duration JoinPeriod = std::chrono::milliseconds{500};
  // Anti-entropy with one member whose digest differs.
  Duration SyncPeriod = std::chrono::minutes{5};
  // Time to the exchanges after start; each is four times as long as the one
  // before, up to SyncPeriod.
  Duration FirstSyncPeriod = std::chrono::seconds{1};
  // Unreachable and Left members are kept this long.
  Duration Retention = std::chrono::hours{24};
  // A longer gap between ticks is a pause of this process: nothing is concluded
  // from answers that it had no time to read.
  Duration PauseGap = std::chrono::seconds{2};
  // A zone is lost when this share of its members, and at least MinLostMembers,
  // is suspect or unreachable.
  double LostZoneShare = 0.5;
  std::size_t MinLostMembers = 3;
  // Members of a lost zone that must be heard before it counts as returned.
  std::size_t ReturnedMembers = 2;
  std::size_t MaxMembers = 65'536;
  std::size_t MaxPendingUpdates = 4'096;
  std::size_t MaxRelays = 64;
  std::size_t MaxContacts = 64;
};

} // namespace magnolia::policy

#endif
