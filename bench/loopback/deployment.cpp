#include "deployment.h"

#include <utility>

namespace magnolia::bench {

namespace {

struct ServiceSize {
  std::string_view Name;
  std::size_t Backends;
};

std::string address(int Block, std::size_t Zone, std::size_t Number) {
  return "127." + std::to_string(Block) + '.' + std::to_string(Zone + 1) + '.' +
         std::to_string(Number + 1);
}

} // namespace

InstancePlan planInstance(const Deployment &Planned, int Block,
                          std::size_t Zone, std::string Service,
                          std::string Version) {
  return {.Address = address(Block, Zone, Planned.Instances.size()),
          .AvailabilityZone = Planned.Zones[Zone],
          .Service = std::move(Service),
          .Version = std::move(Version)};
}

std::optional<Deployment> planDeployment(std::string_view Name, int Block) {
  Deployment Planned;
  std::vector<ServiceSize> Sizes;
  if (Name == "kyushu") {
    Planned.Connections = 200;
    Sizes = {{"catalogue", 4}, {"holds", 3}, {"orders", 4}};
  } else if (Name == "fes") {
    Planned.Connections = 250;
    Sizes = {{"patterns", 4}, {"jobs", 5}, {"orders", 3}};
  } else {
    return std::nullopt;
  }
  Planned.Region = Name;
  Planned.StoreAddress = "127." + std::to_string(Block) + ".0.1";
  Planned.RelayAddress = "127." + std::to_string(Block) + ".0.2";
  for (const char *Letter : {"a", "b", "c"}) {
    Planned.Zones.push_back(Planned.Region + '-' + Letter);
  }
  std::size_t Zone = 0;
  for (const auto &[Service, Backends] : Sizes) {
    Planned.Services.emplace_back(Service);
    for (std::size_t Number = 0; Number < Backends; ++Number) {
      Planned.Instances.push_back(planInstance(Planned, Block,
                                               Zone++ % Planned.Zones.size(),
                                               std::string(Service), "1"));
    }
  }
  return Planned;
}

} // namespace magnolia::bench
