#ifndef LOOPBACK_FLEET_H
#define LOOPBACK_FLEET_H

#include "caller_client.h"
#include "child_process.h"
#include "deployment.h"
#include "options.h"

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::bench {

// Folder that goes with everything in it.
class TemporaryFolder {
public:
  explicit TemporaryFolder(bool Keep);
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  [[nodiscard]] const std::filesystem::path &path() const { return Folder; }

private:
  std::filesystem::path Folder;
  bool Keep;
};

// Node and backend server of one instance.
struct Instance {
  InstancePlan Plan;
  std::unique_ptr<ChildProcess> Node;
  std::unique_ptr<ChildProcess> Backend;
  // The node was stopped on purpose.
  bool Stopped = false;
};

// All processes of a run: store, nodes, backend servers and relays. They are
// stopped when the object goes.
class Fleet {
public:
  Fleet(Deployment Planned, const Options &Given, int Block,
        std::filesystem::path Folder);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  // Starts the store and every planned instance.
  void start();

  // Starts one more instance in the zone with this index.
  Instance &add(std::size_t Zone, const std::string &Service,
                const std::string &Version);

  // Starts a backend server of the service without a node beside it, for calls
  // that don't pass through the system. It is warm from the start and isn't
  // part of the deployment.
  Endpoint startTwin(const std::string &Service);

  // Starts the two relays before the backend server and returns the address
  // that callers use.
  Endpoint startRelays(const Endpoint &Backend);

  // Waits until the check holds or the limit is over; returns whether it did.
  // The check runs with short pauses, and the store must not be awaited here.
  static bool await(const std::function<bool()> &Check,
                    std::chrono::milliseconds Limit);

  // True where a call to each service by way of each entry node is answered.
  [[nodiscard]] bool ready(const std::vector<Endpoint> &Entries) const;

  // One entry node per zone.
  [[nodiscard]] std::vector<Endpoint> entries() const;

  // Instances with this service and version.
  std::vector<Instance *> backends(const std::string &Service,
                                   const std::string &Version);

  [[nodiscard]] std::chrono::nanoseconds nodeTime() const;
  [[nodiscard]] std::chrono::nanoseconds relayTime() const;

  std::list<Instance> Instances;
  [[nodiscard]] const Deployment &plan() const { return Planned; }
  [[nodiscard]] const std::filesystem::path &folder() const { return Folder; }

private:
  void startInstance(const InstancePlan &Plan);
  std::unique_ptr<ChildProcess> startBackend(const InstancePlan &Plan,
                                             int ColdStartMs, bool WithNode);

  Deployment Planned;
  Options Given;
  int Block;
  std::filesystem::path Folder;
  std::unique_ptr<ChildProcess> Store;
  std::vector<std::unique_ptr<ChildProcess>> Twins;
  std::vector<std::unique_ptr<ChildProcess>> Relays;
};

// Posts JSON to a stand-in's /fault; throws where it isn't accepted.
void setFault(const std::string &Address, int Port, const std::string &Json);

} // namespace magnolia::bench

#endif
