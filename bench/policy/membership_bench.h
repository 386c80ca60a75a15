#ifndef BENCH_POLICY_MEMBERSHIP_BENCH_H
#define BENCH_POLICY_MEMBERSHIP_BENCH_H

#include "policy/membership/gossip.h"
#include "policy/membership/sync.h"

#include <cstddef>
#include <string>
#include <vector>

namespace magnolia::bench {

// Returns the record of a member of a fleet of Size members in 29 availability
// zones, or in three zones for fleets below 100 members, as today's are.
inline policy::Member fleetMember(std::size_t Index, std::size_t Size) {
  const std::size_t Zones = Size < 100 ? 3 : 29;
  policy::Member Record;
  Record.Address = "10." + std::to_string(Index / 65'536);
  Record.Address += '.' + std::to_string(Index / 256 % 256);
  Record.Address += '.' + std::to_string(Index % 256);
  Record.PeerPort = 7001;
  Record.ControlPort = 7002;
  Record.GossipPort = 7003;
  Record.HttpPort = 7000;
  Record.Region = "region-" + std::to_string(Index % Zones / 3);
  Record.Zone = "zone-" + std::to_string(Index % Zones);
  Record.Service = "service-" + std::to_string(Index % 1'800);
  Record.Version = "2026-12-04";
  Record.Node = policy::nodeIdOf(Record.Address, Record.PeerPort);
  Record.Run = 1'700'000'000'000'000'000ULL + Index;
  return Record;
}

inline std::vector<policy::Member> fleetMembers(std::size_t Size) {
  std::vector<policy::Member> Fleet;
  for (std::size_t I = 0; I < Size; ++I) {
    Fleet.push_back(fleetMember(I, Size));
  }
  return Fleet;
}

} // namespace magnolia::bench

#endif
