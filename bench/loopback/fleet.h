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

// Temporary folder. The destructor deletes it with its contents unless Keep is
// set.
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
  // The node was stopped intentionally.
  bool Stopped = false;
};

// All processes of a run: store, nodes, backend servers and relays. The
// destructor stops them.
class Fleet {
public:
  Fleet(Deployment Planned, const Options &Given, int Block,
        std::filesystem::path Folder);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  // Starts the store and every planned instance.
  void start();

  // Starts an additional instance in the zone with this index.
  Instance &add(std::size_t Zone, const std::string &Service,
                const std::string &Version);

  // Starts a backend server of the service without a sidecar, for calls that
  // bypass the load balancer. It has no cold start and isn't part of the
  // deployment.
  Endpoint startBackendWithoutNode(const std::string &Service);

  // Starts two relays in front of the backend server and returns the address
  // that callers use.
  Endpoint startRelays(const Endpoint &Backend);

  // Polls the check with short pauses until it holds or the limit has elapsed.
  // Returns whether it held. The store must not be waited for here.
  static bool await(const std::function<bool()> &Check,
                    std::chrono::milliseconds Limit);

  // Returns true if each service responds through each entry node.
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
  std::vector<std::unique_ptr<ChildProcess>> BackendsWithoutNode;
  std::vector<std::unique_ptr<ChildProcess>> Relays;
};

// Posts JSON to a stand-in's /fault. Throws if it is not accepted.
void setFault(const std::string &Address, int Port, const std::string &Json);

} // namespace magnolia::bench

#endif
