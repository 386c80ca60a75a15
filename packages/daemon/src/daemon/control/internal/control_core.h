#ifndef DAEMON_CONTROL_INTERNAL_CONTROL_CORE_H
#define DAEMON_CONTROL_INTERNAL_CONTROL_CORE_H

#include "daemon/control/config_runner.h"
#include "daemon/control/control_client.h"
#include "daemon/control/control_options.h"
#include "daemon/control/control_server.h"
#include "daemon/control/control_thread.h"
#include "daemon/control/fleet_records.h"
#include "daemon/control/gossip_socket.h"
#include "daemon/control/membership_runner.h"
#include "daemon/control/rollout_breakers.h"
#include "daemon/control/rollout_runner.h"
#include "daemon/control/store_worker.h"
#include "daemon/control/task_queue.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/usage/usage_runner.h"
#include "daemon/view/local_backend.h"
#include "policy/fleet/join_state.h"
#include "policy/fleet/restore_state.h"

#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace magnolia::daemon::internal {

// State and timers of the control thread. All functions except open(), stop(),
// queue() and metrics() must be called on that thread.
class ControlCore {
public:
  ControlCore(ControlOptions Options, ControlThread::Links Shared);
  ControlCore(const ControlCore &) = delete;
  ControlCore &operator=(const ControlCore &) = delete;
  ~ControlCore() = default;

  [[nodiscard]] bool open(policy::Error &LastError);
  void stop();

  [[nodiscard]] TaskQueue &queue() { return Queue; }
  [[nodiscard]] std::string metrics() const;

  void announceDraining();
  void announceLeft();
  [[nodiscard]] std::string dump();

private:
  void openStore();
  void openUsage();
  void connectTraffic();
  void run();
  void tick();
  void applyStartRecords();
  void onStoreResult(store::WatchResult Result);
  void checkStoreEpoch(std::uint64_t Epoch, policy::TimePoint Now);
  void writeLostRecords(policy::TimePoint Now);
  // Return false if the job cannot be queued.
  [[nodiscard]] bool submitReportWrite();
  [[nodiscard]] bool submitFullRead();
  void restoreClusterKey(const store::WatchResult &Read);
  [[nodiscard]] store::PutRequest ownContact(std::uint32_t Slot) const;
  void applyContacts(const store::WatchResult &Result);
  void readContacts(policy::TimePoint Now);
  void updateStoreWatch(policy::TimePoint Now);
  void writeContact();
  // Deletes reports in the store that are not needed any more, from time to
  // time while this node watches the store.
  void removeReports(policy::TimePoint Now);
  void publishView(policy::TimePoint Now);
  void onEntry(const policy::ConfigEntry &Entry, ConfigRunner::Source From);
  void applyPendingRouting();
  void onBackend(const LocalBackendState &Backend);
  [[nodiscard]] bool onCall(wire::ControlBody Body, ControlReply Reply);
  void handleRequest(const wire::ControlBody &Request,
                     wire::ControlBody &Response);
  void fillStatus(wire::ControlBody &Response) const;

  ControlOptions Options;
  ControlThread::Links Shared;
  policy::RandomEngine Random;
  TaskQueue Queue;
  RolloutBreakers Breakers;
  // Runs the control calls of both directions.
  FiberPool Fibers;
  ControlClient Client;
  std::unique_ptr<GossipSocket> Gossip;
  std::unique_ptr<StoreWorker> Store;
  std::unique_ptr<MembershipRunner> Membership;
  std::unique_ptr<ConfigRunner> Config;
  std::unique_ptr<RolloutRunner> Rollouts;
  // Null if no receiver of the usage report is set.
  std::unique_ptr<UsageRunner> Usage;
  std::unique_ptr<ControlServer> Server;
  FleetRecords Records;
  // Origin of the newest routing table if it has not been parsed yet.
  std::optional<ConfigRunner::Source> PendingRouting;
  bool Draining = false;
  // Member table generation from which the published view was built.
  std::uint64_t ViewGeneration = 0;
  bool ViewDirty = true;
  // Whether the published view says so; see ClusterView.
  bool RoutingOutdated = false;
  bool ViewChangesWithTime = false;
  policy::TimePoint LastView;
  policy::JoinState Join;
  policy::RestoreState Restore;
  // Time of the next removal of reports. Not set before the first tick.
  policy::TimePoint NextRemoval{};
  std::thread Thread;
};

} // namespace magnolia::daemon::internal

#endif
