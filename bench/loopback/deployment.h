#ifndef LOOPBACK_DEPLOYMENT_H
#define LOOPBACK_DEPLOYMENT_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::bench {

// Ports are the same on every instance because each has its own address.
inline constexpr int HttpPort = 18080;
inline constexpr int PeerPort = 18081;
inline constexpr int ControlPort = 18082;
inline constexpr int GossipPort = 18083;
inline constexpr int BackendPort = 18090;
inline constexpr int StorePort = 18070;

// One small machine with a node and its local backend server.
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
  // Address of the relays that measure the latency floor.
  std::string RelayAddress;
  int Slots = 12;
  int Connections = 200;
  std::vector<std::string> Services;
  std::vector<std::string> Zones;
  std::vector<InstancePlan> Instances;
};

// Returns the deployment named kyushu or fes; none for another name. The block
// is the second number of all addresses, so that concurrent runs don't collide.
[[nodiscard]] std::optional<Deployment> planDeployment(std::string_view Name,
                                                       int Block);

// Returns an additional instance in the zone with this index.
[[nodiscard]] InstancePlan planInstance(const Deployment &Planned, int Block,
                                        std::size_t Zone, std::string Service,
                                        std::string Version);

} // namespace magnolia::bench

#endif
