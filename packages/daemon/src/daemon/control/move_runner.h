#ifndef DAEMON_CONTROL_MOVE_RUNNER_H
#define DAEMON_CONTROL_MOVE_RUNNER_H

#include "daemon/control/fwd.h"
#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/move/move_evidence.h"
#include "policy/move/move_record.h"
#include "policy/move/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
  [[nodiscard]] std::uint64_t writes() const { return Writes; }
  [[nodiscard]] std::uint64_t failedWrites() const { return FailedWrites; }

private:
  // What a watcher keeps per move to drive it.
  struct Drive {
    policy::MoveEvidence Evidence;
    // Revision that the next record was due for, and since when.
    std::uint64_t DueRevision = 0;
    policy::TimePoint DueAt;
    bool Writing = false;
  };

  void sendReports(policy::TimePoint WallNow);
  void addReport(const std::string &Service,
                 const policy::EvidenceReport &Report,
                 policy::TimePoint WallNow);
  void drive(const policy::MoveRecord &Record, policy::TimePoint WallNow);
  void write(const policy::MoveRecord &Next);
  void onWritten(const std::string &Service, bool Written);
  void spread(const std::string &Service, const std::string &MoveId,
              const policy::Verdict &Held, std::uint32_t Rounds);
  [[nodiscard]] std::vector<policy::Member>
  collectorsOf(std::string_view MoveId) const;

  Links To;
  std::map<std::string, policy::MoveRecord, std::less<>> Records;
  std::map<std::string, Drive, std::less<>> Drives;
  policy::TimePoint NextReport;
  std::uint64_t Writes = 0;
  std::uint64_t FailedWrites = 0;
};

} // namespace magnolia::daemon

#endif
