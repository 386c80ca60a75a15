#ifndef POLICY_TEST_MEMBERSHIP_FLEET_H
#define POLICY_TEST_MEMBERSHIP_FLEET_H

#include "policy/membership/gossip.h"
#include "policy/membership/sync.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnolia::policy::test {

struct FleetOptions {
  std::size_t Zones = 3;
  std::size_t NodesPerZone = 4;
  double Loss = 0.0;
  double Duplication = 0.0;
  Duration MinDelay = std::chrono::milliseconds{1};
  Duration MaxDelay = std::chrono::milliseconds{5};
  Duration Tick = std::chrono::milliseconds{50};
  std::uint64_t Seed = 1;
  MembershipOptions Membership{};
};

struct FleetNode {
  MembershipState State;
  bool Up = true;
  bool Paused = false;
  // Zone that the network can isolate from the others; see Fleet::Cut.
  std::size_t Zone = 0;
  // Datagrams that arrived during a pause.
  std::vector<MembershipMessage> Inbox;
};

// Simulation of nodes that exchange datagrams in virtual time over a network
// that loses, delays, reorders and duplicates them.
struct Fleet {
  struct Datagram {
    std::size_t From = 0;
    std::size_t To = 0;
    MembershipMessage Message;
  };

  FleetOptions Options;
  RandomEngine Random;
  TimePoint Now{std::chrono::hours{1}};
  std::vector<FleetNode> Nodes;
  // Zones that are isolated from all others.
  std::vector<bool> Cut;
  std::multimap<TimePoint, Datagram> InFlight;
  std::map<std::pair<std::string, std::uint16_t>, std::size_t> ByAddress;
  // Called after every step.
  std::function<void(const Fleet &)> Check;
};

[[nodiscard]] Fleet makeFleet(const FleetOptions &Options);

// Returns the record of a node of the fleet at its start.
[[nodiscard]] Member fleetMember(const Fleet &Run, std::size_t Index,
                                 Incarnation Start);

// Advances the virtual time.
void run(Fleet &Run, Duration Time);

void crash(Fleet &Run, std::size_t Index);
// Starts a new incarnation of the node with this version.
void restart(Fleet &Run, std::size_t Index, const std::string &Version);
void pause(Fleet &Run, std::size_t Index);
void resume(Fleet &Run, std::size_t Index);
void sendAll(Fleet &Run, std::size_t From,
             const std::vector<MembershipAction> &Actions);

// Returns the number of pairs of nodes in which a running node does not have
// the current record of a running one, or considers a stopped one live.
[[nodiscard]] std::size_t wrongViews(const Fleet &Run);

} // namespace magnolia::policy::test

#endif
