#ifndef REVIEW_STANDIN_2_DEPLOYMENT_H
#define REVIEW_STANDIN_2_DEPLOYMENT_H

#include "http.h"
#include "record.h"
#include "store.h"
#include "upstream.h"

#include <sys/types.h>

#include <atomic>

#include <memory>
#include <string>
#include <vector>

namespace review {

// A machine with its node and its upstream.
struct Machine {
  std::string Zone;
  std::string Service;
  std::string Version = "v1";
  // Further options of the upstream.
  UpstreamOptions Upstream;
};

struct Route {
  std::string Name;
  std::string Host = "shop.example";
  std::string Prefix;
  std::string Service;
  bool Idempotent = true;
  double TimeoutSeconds = 1.2;
  int MaxAttempts = 2;
};

// Command line of a case: the folder of the repository and of the record, and
// whether the disruption takes place.
struct CaseOptions {
  std::string Root;
  std::string Folder;
  bool Trouble = true;
};

// Exit status of a case.
enum class Verdict : int { Held = 0, Broken = 1, NotRun = 2 };

[[nodiscard]] CaseOptions readOptions(int Count, char **Arguments);

// A small deployment on loopback addresses: real nodes, and stand-ins of the
// store and the upstreams.
class Deployment {
public:
  // Port at which each node takes the requests of clients.
  static constexpr std::uint16_t OutboundPort = 8304;

  Deployment(const CaseOptions &Given, Record &Lines, Store::Faults Faults);
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  ~Deployment();

  // Writes the manifest and returns the time of the store's acknowledgement.
  TimePoint writeManifest(const std::vector<Route> &Routes);
  [[nodiscard]] bool startStore();
  // Starts the node and the upstream of a machine. Returns its index.
  [[nodiscard]] std::size_t add(const Machine &Added);
  // Waits until every node is ready and serves a request of each route.
  [[nodiscard]] bool awaitReady(const std::vector<Route> &Routes,
                                Milliseconds Time);

  void signalNode(std::size_t Index, int Signal);
  // Starts the node of a machine again. Returns false on failure.
  [[nodiscard]] bool startNode(std::size_t Index);

  [[nodiscard]] Store &store() { return Keys; }
  [[nodiscard]] Upstream &upstream(std::size_t Index) const;
  [[nodiscard]] std::size_t size() const { return Machines.size(); }
  [[nodiscard]] const std::string &address(std::size_t Index) const;
  [[nodiscard]] const std::string &zone(std::size_t Index) const;

  // Sends a request of a client to the node of a machine.
  Response request(std::size_t Index, const Route &To,
                   const std::string &Method, Milliseconds Time);

private:
  struct Running {
    std::string Zone;
    std::string Address;
    std::string Service;
    pid_t Node = -1;
    std::unique_ptr<Upstream> Server;
  };

  [[nodiscard]] std::string settingsOf(const Running &Given) const;
  [[nodiscard]] bool answersReady(const Running &Given) const;

  const CaseOptions Options;
  Record &Lines;
  const std::string Temporary;
  const std::string Network;
  Store Keys;
  std::uint64_t ManifestVersion = 0;
  // True until all nodes of the first start are ready.
  bool FirstStart = true;
  std::atomic<std::uint64_t> Requests = 0;
  std::vector<std::unique_ptr<Running>> Machines;
};

} // namespace review

#endif
