#ifndef DAEMON_NODE_NODE_H
#define DAEMON_NODE_NODE_H

#include "daemon/announce/announcer.h"
#include "daemon/control/control_thread.h"
#include "daemon/dialect/dialect.h"
#include "daemon/dump/dump.h"
#include "daemon/entry/entry.h"
#include "daemon/entry/http_service.h"
#include "daemon/entry/local_endpoints.h"
#include "daemon/entry/prober.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/connection_server.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/peer/peer_pool.h"
#include "daemon/sidecar/backend_watch.h"
#include "daemon/sidecar/peer_service.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/view/evidence_recorder.h"
#include "daemon/view/local_backend.h"
#include "daemon/view/version_cuts.h"
#include "daemon/view/view_holder.h"
#include "settings/node/node_settings.h"
#include "wire/seal/cluster_key.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::daemon {

// One node: the data path and the control thread, which publishes views, takes
// the evidence and listens to the own backend server.
class Node {
public:
  // Known: what the store said at the start, if it was asked.
  Node(settings::NodeSettings Given, wire::ClusterKey Key,
       const Dialect &Speaks = nativeDialect(),
       std::optional<store::WatchResult> Known = {});

  [[nodiscard]] bool start(policy::Error &LastError);

  // Takes over the settings that may change while the node runs.
  void reload(const settings::NodeSettings &Next);

  // Tells callers to leave; everything is still served.
  void beginStop();
  // Announces that the node leaves. It still serves callers, but its backend
  // server takes no new work.
  void beginDrain();
  // Ends new work and waits for the requests in flight. False where some did
  // not end in time.
  [[nodiscard]] bool finishStop();

  // Port for callers, also where the settings leave the choice to the system.
  [[nodiscard]] std::uint16_t httpPort() const { return HttpServer.port(); }

  // True where callers may send requests: the node is not stopping and knows
  // where requests go.
  [[nodiscard]] bool isReady() const;

  const settings::NodeSettings Settings;
  const wire::ClusterKey Key;
  const Dialect &Speaks;
  const policy::NodeId Id;
  const policy::Incarnation Run;

  Metrics Counts;
  ViewHolder Views;
  VersionCuts Cuts;
  EvidenceRecorder Evidence;
  LocalBackend Backend;
  Dump State;

private:
  // Listener of its own for requests that callers do not send.
  struct SideServer {
    std::unique_ptr<HttpService> Service;
    std::unique_ptr<ConnectionServer> Server;
  };

  [[nodiscard]] bool startSideServers(policy::Error &LastError);
  [[nodiscard]] bool startSide(const settings::HostPort &Where,
                               HttpService::Handler Answer,
                               policy::Error &LastError);
  [[nodiscard]] HttpResponse answerReadiness(const HttpRequest &Request) const;
  [[nodiscard]] bool isKnownService(std::string_view Service) const;
  [[nodiscard]] bool keepReport(const policy::BackendReport &Report);
  void restoreReport(std::string_view Value);
  [[nodiscard]] std::string healthPath() const;
  void publishStatic();
  [[nodiscard]] bool startControl(policy::Error &LastError);
  void announce(const LocalBackendState &Announced);

  std::optional<store::WatchResult> Known;
  // Outlives the traffic threads, which report their answers to it. Null with
  // [static] backend servers.
  std::unique_ptr<ControlThread> Control;
  // For calls outside of the control thread; without operations where the
  // node has no store.
  store::StoreOperations Store;
  PeerPool Peers;
  Sidecar Own;
  Announcer Reports;
  std::atomic<bool> Stopping = false;
  Entry Calls;
  PeerServiceOptions PeerOptions;
  PeerService PeerSide;
  LocalEndpoints Endpoints;
  HttpService CallerSide;
  FiberPool Traffic;
  ConnectionServer PeerServer;
  ConnectionServer HttpServer;
  std::optional<BackendWatch> Watch;
  std::optional<Prober> Probes;
  std::vector<SideServer> Sides;
};

} // namespace magnolia::daemon

#endif
