#ifndef DAEMON_NODE_NODE_H
#define DAEMON_NODE_NODE_H

#include "daemon/announce/announcer.h"
#include "daemon/announce/report_store.h"
#include "daemon/control/control_thread.h"
#include "daemon/dialect/dialect.h"
#include "daemon/dump/dump.h"
#include "daemon/entry/entry.h"
#include "daemon/entry/http_service.h"
#include "daemon/entry/local_endpoints.h"
#include "daemon/entry/prober.h"
#include "daemon/link/link_pacer.h"
#include "daemon/memory/body_memory.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/connection_server.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/peer/peer_pool.h"
#include "daemon/sidecar/backend_watch.h"
#include "daemon/sidecar/peer_service.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/usage/run_counter.h"
#include "daemon/usage/usage_setup.h"
#include "daemon/view/local_backend.h"
#include "daemon/view/response_recorder.h"
#include "daemon/view/share_overrides.h"
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

// One node: the data path and the control thread, which publishes the views,
// collects the response statistics and announces the local backend server.
class Node {
public:
  // Known: records that were read from the store at startup, if any.
  Node(settings::NodeSettings Given, wire::ClusterKey Key,
       const Dialect &Speaks = nativeDialect(),
       std::optional<store::WatchResult> Known = {});

  [[nodiscard]] bool start(policy::Error &LastError);

  // Applies the settings that may change while the node runs.
  void reload(const settings::NodeSettings &Next);

  // Asks callers to close their connections. All requests are still served.
  void beginStop();
  // Announces that the node is leaving. It still serves callers, but its
  // backend server gets no new requests.
  void beginDrain();
  // Stops accepting requests and waits for those in flight. To be called after
  // beginStop. Returns false if some did not end in time.
  [[nodiscard]] bool finishStop();

  // Port for callers. If the settings give port 0, it is the one that the
  // system chose.
  [[nodiscard]] std::uint16_t httpPort() const { return HttpServer.port(); }

  // Returns whether other nodes may open connections; false once finishStop has
  // begun.
  [[nodiscard]] bool acceptsPeers() const { return PeerServer.accepting(); }

  // Returns whether callers may send requests: the node is not stopping and has
  // a routing table if it needs one.
  [[nodiscard]] bool isReady() const;

  const settings::NodeSettings Settings;
  const wire::ClusterKey Key;
  const Dialect &Speaks;
  const policy::NodeId Id;
  const policy::Incarnation Run;

  Metrics Counts;
  ViewHolder Views;
  ShareOverrides Overrides;
  ResponseRecorder Responses;
  LocalBackend Backend;
  Dump State;
  // Memory for the bodies of all requests and responses.
  BodyMemory Bodies;
  LinkPacer Link;

private:
  // Separate listener for announcements, readiness checks or metrics.
  struct AuxiliaryServer {
    std::unique_ptr<HttpService> Service;
    std::unique_ptr<ConnectionServer> Server;
  };

  [[nodiscard]] bool startAuxiliaryServers(policy::Error &LastError);
  [[nodiscard]] bool startAuxiliaryServer(const settings::HostPort &Where,
                                          HttpService::Handler RequestHandler,
                                          policy::Error &LastError);
  [[nodiscard]] HttpResponse
  readinessResponse(const HttpRequest &Request) const;
  [[nodiscard]] bool isKnownService(std::string_view Service) const;
  // Restores the report that the records of the start hold. To be called before
  // the node listens: a late report would be taken for the first one.
  void restoreStartReport();
  void restoreReport(std::string_view Value);
  [[nodiscard]] std::string healthPath() const;
  void publishStatic();
  [[nodiscard]] bool startControl(policy::Error &LastError);
  void announce(const LocalBackendState &Announced);

  std::optional<store::WatchResult> Known;
  ReportStore Reports;
  PeerPool Peers;
  // Empty and null if no receiver of the usage report is set.
  const std::optional<UsageSetup> Usage;
  const std::unique_ptr<RunCounter> Runs;
  Sidecar LocalSidecar;
  Announcer BackendAnnouncer;
  // Outlives the traffic threads, which report their responses to it, and is
  // destroyed before the objects above, which its threads use. Null if the
  // settings have [static] backend servers.
  std::unique_ptr<ControlThread> Control;
  std::atomic<bool> Stopping = false;
  // Deadline of the last request. Set before Stopping is acted on, by the
  // thread that stops the node.
  policy::TimePoint StopEnd{};
  Entry EntryNode;
  PeerServiceOptions PeerOptions;
  PeerService PeerRequests;
  LocalEndpoints Endpoints;
  HttpService CallerRequests;
  FiberPool Traffic;
  ConnectionServer PeerServer;
  ConnectionServer HttpServer;
  std::optional<BackendWatch> Watch;
  std::optional<Prober> Probes;
  std::vector<AuxiliaryServer> AuxiliaryServers;
};

} // namespace magnolia::daemon

#endif
