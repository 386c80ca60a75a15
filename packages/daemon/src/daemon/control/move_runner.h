#ifndef DAEMON_CONTROL_MOVE_RUNNER_H
#define DAEMON_CONTROL_MOVE_RUNNER_H

#include "daemon/control/fwd.h"
#include "policy/core/types.h"
#include "policy/move/drive_state.h"
#include "policy/move/evidence_report.h"
#include "policy/move/move_record.h"
#include "policy/move/order.h"
#include "policy/move/verdict.h"

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
class MoveBrakes;

// Drives the moves of the fleet together with the other watchers: sends this
// node's evidence to the driver, spreads bad verdicts, and writes the next
// record where it is this node's turn. Used by the control thread only.
class MoveRunner {
public:
  struct Links {
    MembershipRunner &Membership;
    ConfigRunner &Config;
    MoveBrakes &Brakes;
    ControlClient &Client;
    TaskQueue &Queue;
    // Null on a node without a store.
    StoreWorker *Store;
    policy::RandomEngine &Random;
  };

  explicit MoveRunner(Links Connected) : To(Connected) {}

  // Takes over a record that changed in the configuration.
  void onRecord(const policy::MoveRecord &Record);
  void onRemoved(std::string_view Service);
  // Takes over an order whose move may have to be planned.
  void onOrder(const policy::MoveOrder &Order);

  // A verdict of this node, or one that another node has sent.
  void onOwnVerdict(const std::string &Service, const std::string &MoveId,
                    const policy::Verdict &Held);
  void onVerdict(const wire::VerdictRequest &Request);
  void onEvidence(const wire::EvidenceRequest &Request);

  // Sends evidence and writes records that are due.
  void tick(policy::TimePoint SteadyNow, policy::TimePoint WallNow);

  [[nodiscard]] const std::map<std::string, policy::MoveRecord, std::less<>> &
  records() const {
    return Records;
  }

private:
  void sendReports(policy::TimePoint WallNow);
  void addReport(const std::string &Service,
                 const policy::EvidenceReport &Report,
                 policy::TimePoint WallNow);
  void drive(const policy::MoveRecord &Record, policy::TimePoint WallNow);
  // Writes the first records of moves that operators ordered.
  void planOrders(policy::TimePoint WallNow);
  // False where the write cannot be queued.
  [[nodiscard]] bool write(const policy::MoveRecord &Next);
  void onWritten(const std::string &Service, bool Written);
  void spread(const std::string &Service, const std::string &MoveId,
              const policy::Verdict &Held, std::uint32_t Rounds);

  Links To;
  std::map<std::string, policy::MoveRecord, std::less<>> Records;
  std::map<std::string, policy::DriveState, std::less<>> Drives;
  std::map<std::string, policy::MoveOrder, std::less<>> Orders;
  // When the planning of an order was due first, by its move's id.
  std::map<std::string, policy::TimePoint, std::less<>> OrdersDue;
  policy::TimePoint NextReport;
  // Makes each operation id of this run unique.
  std::uint64_t Writes = 0;
};

} // namespace magnolia::daemon

#endif
