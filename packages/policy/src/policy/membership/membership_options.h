#ifndef POLICY_MEMBERSHIP_MEMBERSHIP_OPTIONS_H
#define POLICY_MEMBERSHIP_MEMBERSHIP_OPTIONS_H

#include "policy/core/types.h"

#include <chrono>
#include <cstddef>

namespace magnolia::policy {

// Timing and limits of the membership protocol.
struct MembershipOptions {
  // One direct ping per period.
  Duration ProbePeriod = std::chrono::seconds{1};
  // Time to wait for the direct Ack before indirect pings are sent; longer than
  // the round trip between the most distant regions.
  Duration ProbeTimeout = std::chrono::milliseconds{400};
  std::size_t IndirectProbes = 3;
  // A suspicion lasts this many probe periods times log10 of the member count.
  double SuspicionFactor = 4.0;
  Duration GossipPeriod = std::chrono::milliseconds{200};
  std::size_t GossipFanout = 2;
  // An update is sent this many times ceil(log10 of the member count).
  std::size_t RetransmitFactor = 4;
  // Updates per datagram, and the bytes of the member records in it, the
  // sender's own included. They keep the datagram below 1,200 bytes with usual
  // names, including authentication and the other fields.
  std::size_t MaxUpdates = 16;
  std::size_t MaxRecordBytes = 1050;
  // Updates sent per second over all datagrams, which limits the traffic after
  // a partition heals: at about 90 bytes each, they use 7 KB/s of the 23 KB/s
  // that a node may use for control traffic.
  double UpdatesPerSecond = 80.0;
  // One ping per period to a random unreachable member.
  Duration UnreachablePeriod = std::chrono::seconds{5};
  // One ping per period to a random contact, which reconnects parts of the
  // fleet that no longer know each other.
  Duration ContactPeriod = std::chrono::seconds{30};
  // Period of pings to contacts while no other member is known.
  Duration JoinPeriod = std::chrono::milliseconds{500};
  // Anti-entropy with one member whose digest differs.
  Duration SyncPeriod = std::chrono::minutes{5};
  // First interval between exchanges after the start. Each following interval
  // is four times as long as the one before, up to SyncPeriod.
  Duration FirstSyncPeriod = std::chrono::seconds{1};
  // Unreachable and Left members are kept this long.
  Duration Retention = std::chrono::hours{24};
  // A longer gap between ticks counts as a pause of this process. Missing
  // responses during a pause are not treated as failures, because the process
  // had no time to read them.
  Duration PauseGap = std::chrono::seconds{2};
  // A zone counts as lost if this share of its members, and at least
  // MinLostMembers, is suspect or unreachable.
  double LostZoneShare = 0.5;
  std::size_t MinLostMembers = 3;
  // Number of members of a lost zone that must send a message before the zone
  // counts as restored.
  std::size_t ReturnedMembers = 2;
  std::size_t MaxMembers = 65'536;
  std::size_t MaxPendingUpdates = 4'096;
  std::size_t MaxRelays = 64;
  std::size_t MaxContacts = 64;
};

} // namespace magnolia::policy

#endif
