#ifndef DAEMON_CONTROL_ROLLOUT_RUNNER_H
#define DAEMON_CONTROL_ROLLOUT_RUNNER_H

#include "daemon/control/fwd.h"
#include "policy/core/types.h"
#include "policy/rollout/drive_state.h"
#include "policy/rollout/rollout_record.h"
#include "policy/rollout/rollout_request.h"
#include "policy/rollout/stats_report.h"
#include "policy/rollout/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::wire {
class EvidenceRequest;
class VerdictRequest;
} // namespace magnolia::wire

namespace magnolia::daemon {

class ConfigRunner;
class MembershipRunner;
class RolloutBreakers;

// Drives the rollouts of the fleet together with the other watchers of the
// store: sends the response statistics of this node to the collectors,
// broadcasts bad verdicts, and writes the next record if this node is the
// driver of the rollout. Used by the control thread only.
class RolloutRunner {
public:
  struct Dependencies {
    MembershipRunner &Membership;
    ConfigRunner &Config;
    RolloutBreakers &Breakers;
    ControlClient &Client;
    TaskQueue &Queue;
    // Null on a node without a store.
    StoreWorker *Store;
    policy::RandomEngine &Random;
  };

  explicit RolloutRunner(Dependencies Required) : Deps(Required) {}

  // Handles a record that changed in the configuration.
  void onRecord(const policy::RolloutRecord &Record);
  void onRemoved(std::string_view Service);
  // Handles a rollout request whose rollout may have to be planned.
  void onRolloutRequest(const policy::RolloutRequest &Requested);
  // Handles a request that the operator withdrew. A rollout that has started
  // goes on.
  void onRequestWithdrawn(std::string_view Service);

  // Handle a bad verdict of this node, and one that another node has sent.
  void onOwnVerdict(const std::string &Service, const std::string &RolloutId,
                    const policy::Verdict &Current);
  void onVerdict(const wire::VerdictRequest &Request);
  void onStatsReport(const wire::EvidenceRequest &Request);

  // Sends the reports and writes the records that are due.
  void tick(policy::TimePoint SteadyNow, policy::TimePoint WallNow);

  [[nodiscard]] const std::map<std::string, policy::RolloutRecord, std::less<>>
      &records() const {
    return Records;
  }

private:
  void sendReports(policy::TimePoint WallNow);
  void addReport(const std::string &Service, const policy::StatsReport &Report,
                 policy::TimePoint WallNow);
  void drive(const policy::RolloutRecord &Record, policy::TimePoint WallNow);
  // Writes the first records of the rollouts that operators requested.
  void planRequests(policy::TimePoint WallNow);
  // Returns false if the write cannot be queued.
  [[nodiscard]] bool write(const policy::RolloutRecord &Next);
  void onWritten(const std::string &Service, bool Written);
  // Returns the newest epoch of the store that this node has heard of.
  [[nodiscard]] std::uint64_t storeEpoch() const;
  void broadcastVerdict(const std::string &Service,
                        const std::string &RolloutId,
                        const policy::Verdict &Current, std::uint32_t Rounds);

  Dependencies Deps;
  std::map<std::string, policy::RolloutRecord, std::less<>> Records;
  std::map<std::string, policy::DriveState, std::less<>> DriveStates;
  std::map<std::string, policy::RolloutRequest, std::less<>> RolloutRequests;
  // Time at which the planning of a rollout request first became due, by
  // rollout id.
  std::map<std::string, policy::TimePoint, std::less<>> RequestDueTimes;
  policy::TimePoint NextReport;
  // Number of writes; it makes each operation id of this process unique.
  std::uint64_t Writes = 0;
};

} // namespace magnolia::daemon

#endif
