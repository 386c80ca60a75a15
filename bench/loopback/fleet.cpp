#include "fleet.h"

#include "interrupt.h"
#include "settings_files.h"

#include <csignal>
#include <cstdlib>
#include <httplib.h>
#include <stdexcept>
#include <utility>

namespace magnolia::bench {

namespace {

constexpr auto CheckPause = std::chrono::milliseconds(50);
constexpr auto StopGrace = std::chrono::seconds(8);
constexpr int ColdStartMs = 3000;

std::string hostPort(const std::string &Address, int Port) {
  return Address + ':' + std::to_string(Port);
}

} // namespace

TemporaryFolder::TemporaryFolder(bool KeepIt) : Keep(KeepIt) {
  auto Template =
      (std::filesystem::temp_directory_path() / "magnolia-loopback-XXXXXX")
          .string();
  if (mkdtemp(Template.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  Folder = Template;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code Ignored;
  if (!Keep) {
    std::filesystem::remove_all(Folder, Ignored);
  }
}

Fleet::Fleet(Deployment Plan, const Options &Options, int AddressBlock,
             std::filesystem::path Home)
    : Planned(std::move(Plan)), Given(Options), Block(AddressBlock),
      Folder(std::move(Home)) {}

Fleet::~Fleet() {
  // Signals all processes first, so that they stop in parallel.
  for (const auto &Each : BackendsWithoutNode) {
    Each->signal(SIGKILL);
  }
  for (const auto &Each : Instances) {
    Each.Backend->signal(SIGKILL);
    Each.Node->signal(SIGTERM);
    Each.Node->signal(SIGCONT);
  }
  for (const auto &Each : Instances) {
    Each.Node->stop(StopGrace);
  }
}

void Fleet::start() {
  writeFile(Folder / "cluster.key", "loopback-key-" +
                                        std::to_string(Given.Seed) +
                                        "-0123456789abcdef0123456789abcdef");
  std::filesystem::permissions(Folder / "cluster.key",
                               std::filesystem::perms::owner_read);
  Store = std::make_unique<ChildProcess>(
      std::vector<std::string>{(Given.Build / "standin/store/standin-store"),
                               "--address", Planned.StoreAddress, "--port",
                               std::to_string(StorePort)},
      Folder / "store.out");
  for (const auto &Plan : Planned.Instances) {
    startInstance(Plan);
  }
}

void Fleet::startInstance(const InstancePlan &Plan) {
  const auto Settings = Folder / (Plan.Address + ".ini");
  writeFile(Settings, nodeSettings(Planned, Plan, Folder, Given.StaticRoutes));
  const auto Output = (Folder / (Plan.Address + ".out")).string();
  auto Node = std::make_unique<ChildProcess>(
      std::vector<std::string>{Given.Build / "packages/daemon/magnoliad",
                               "--config", Settings},
      Output);
  Instances.push_back({.Plan = Plan,
                       .Node = std::move(Node),
                       .Backend = startBackend(Plan, ColdStartMs, true),
                       .Stopped = false});
}

std::unique_ptr<ChildProcess> Fleet::startBackend(const InstancePlan &Plan,
                                                  int Cold, bool WithNode) {
  std::vector<std::string> Command{Given.Build /
                                       "standin/backend/standin-backend",
                                   "--address",
                                   Plan.Address,
                                   "--port",
                                   std::to_string(BackendPort),
                                   "--service",
                                   Plan.Service,
                                   "--version",
                                   Plan.Version,
                                   "--slots",
                                   std::to_string(Planned.Slots),
                                   "--connections",
                                   std::to_string(Planned.Connections),
                                   "--service-time-us",
                                   std::to_string(serviceTimeUs(Given)),
                                   "--cold-start-ms",
                                   std::to_string(Cold),
                                   "--seed",
                                   std::to_string(Given.Seed)};
  if (WithNode) {
    Command.insert(Command.end(), {"--node", hostPort(Plan.Address, HttpPort)});
  }
  return std::make_unique<ChildProcess>(Command,
                                        Folder / (Plan.Address + ".out"));
}

Endpoint Fleet::startBackendWithoutNode(const std::string &Service) {
  const InstancePlan Plan{.Address =
                              "127." + std::to_string(Block) + ".0." +
                              std::to_string(10 + BackendsWithoutNode.size()),
                          .AvailabilityZone = "",
                          .Service = Service,
                          .Version = "1"};
  BackendsWithoutNode.push_back(startBackend(Plan, 0, false));
  return {.Address = Plan.Address, .Port = BackendPort};
}

Instance &Fleet::add(std::size_t Zone, const std::string &Service,
                     const std::string &Version) {
  Planned.Instances.push_back(
      planInstance(Planned, Block, Zone, Service, Version));
  startInstance(Planned.Instances.back());
  return Instances.back();
}

Endpoint Fleet::startRelays(const Endpoint &Backend) {
  Endpoint First{.Address = Planned.RelayAddress, .Port = StorePort + 1};
  const Endpoint Second{.Address = Planned.RelayAddress, .Port = StorePort + 2};
  const auto Start = [this](const Endpoint &Listen, const Endpoint &Target) {
    Relays.push_back(std::make_unique<ChildProcess>(
        std::vector<std::string>{
            Given.Build / "bench/loopback", "--relay-listen",
            hostPort(Listen.Address, Listen.Port), "--relay-target",
            hostPort(Target.Address, Target.Port)},
        Folder / "relay.out"));
  };
  Start(First, Second);
  Start(Second, Backend);
  return First;
}

bool Fleet::await(const std::function<bool()> &Check,
                  std::chrono::milliseconds Limit) {
  const auto Until = Clock::now() + Limit;
  while (!Check()) {
    if (Clock::now() >= Until) {
      return false;
    }
    pauseFor(CheckPause);
  }
  return true;
}

bool Fleet::ready(const std::vector<Endpoint> &Entries) const {
  for (const auto &Entry : Entries) {
    httplib::Client Client(Entry.Address, Entry.Port);
    Client.set_connection_timeout(1);
    Client.set_read_timeout(2);
    for (const auto &Service : Planned.Services) {
      const auto Answer = Client.Get(
          "/browse", {{"Magnolia-Service", Service}, {"X-Caller-Token", "r"}});
      if (!Answer || Answer->status != 200) {
        return false;
      }
    }
  }
  return true;
}

std::vector<Endpoint> Fleet::entries() const {
  std::vector<Endpoint> Entries;
  for (const auto &Zone : Planned.Zones) {
    for (const auto &Each : Planned.Instances) {
      if (Each.AvailabilityZone == Zone) {
        Entries.push_back({.Address = Each.Address, .Port = HttpPort});
        break;
      }
    }
  }
  return Entries;
}

std::vector<Instance *> Fleet::backends(const std::string &Service,
                                        const std::string &Version) {
  std::vector<Instance *> Found;
  for (auto &Each : Instances) {
    if (Each.Plan.Service == Service && Each.Plan.Version == Version) {
      Found.push_back(&Each);
    }
  }
  return Found;
}

std::chrono::nanoseconds Fleet::nodeTime() const {
  std::chrono::nanoseconds Sum{0};
  for (const auto &Each : Instances) {
    Sum += Each.Node->processorTime();
  }
  return Sum;
}

std::chrono::nanoseconds Fleet::relayTime() const {
  std::chrono::nanoseconds Sum{0};
  for (const auto &Each : Relays) {
    Sum += Each->processorTime();
  }
  return Sum;
}

void setFault(const std::string &Address, int Port, const std::string &Json) {
  httplib::Client Client(Address, Port);
  Client.set_connection_timeout(2);
  Client.set_read_timeout(5);
  const auto Answer = Client.Post("/fault", Json, "application/json");
  if (!Answer || Answer->status >= 300) {
    throw std::runtime_error("the stand-in at " + Address +
                             " did not accept the fault " + Json);
  }
}

} // namespace magnolia::bench
