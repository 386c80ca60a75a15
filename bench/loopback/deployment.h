#ifndef LOOPBACK_DEPLOYMENT_H
#define LOOPBACK_DEPLOYMENT_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::bench {

// Ports are the same on every instance; each has an address of its own.
inline constexpr int HttpPort = 18080;
inline constexpr int PeerPort = 18081;
inline constexpr int ControlPort = 18082;
inline constexpr int GossipPort = 18083;
inline constexpr int BackendPort = 18090;
inline constexpr int StorePort = 18070;

// One small machine: a node and the backend server beside it.
struct InstancePlan {
  std::string Address;
  std::string AvailabilityZone;
  std::string Service;
  std::string Version;
};

// Instances of one user.
struct Deployment {
  std::string Region;
  std::string StoreAddress;
  // Address for the relays of the latency floor.
  std::string RelayAddress;
  int Slots = 12;
  int Connections = 200;
  std::vector<std::string> Services;
  std::vector<std::string> Zones;
  std::vector<InstancePlan> Instances;
};

// Deployment by name, kyushu or fes; none for another name. The block is the
// second number of all addresses, so that two runs don't meet.
[[nodiscard]] std::optional<Deployment> planDeployment(std::string_view Name,
                                                       int Block);

// Another instance for the deployment, in the zone with this index.
[[nodiscard]] InstancePlan planInstance(const Deployment &Planned, int Block,
                                        std::size_t Zone, std::string Service,
                                        std::string Version);

} // namespace magnolia::bench

#endif
