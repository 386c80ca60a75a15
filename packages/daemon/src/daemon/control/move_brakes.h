#ifndef DAEMON_CONTROL_MOVE_BRAKES_H
#define DAEMON_CONTROL_MOVE_BRAKES_H

#include "daemon/view/fwd.h"
#include "policy/core/types.h"
#include "policy/move/evidence_report.h"
#include "policy/move/local_brake.h"
#include "policy/move/move_record.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::daemon {

// The local brakes of all moves in progress. The traffic threads count each
// answer here, so that a bad version is cut off before the next choice; the
// control thread sets the moves and collects the reports.
class MoveBrakes {
public:
  // Called by a traffic thread when its answer made the verdict bad.
  using VerdictHandler = std::function<void(
      std::string Service, std::string MoveId, policy::Verdict Held)>;

  MoveBrakes(VersionCuts &Cuts, VerdictHandler Handler);

  // Counts one answer of a service with a move; others are ignored.
  void count(const EvidenceSample &Sample);

  // Takes over the record of a service; an ended move ends its brake.
  void setRecord(const policy::MoveRecord &Record);
  void removeRecord(std::string_view Service);

  // Joins a verdict of another node. Returns whether it became bad.
  bool join(std::string_view Service, std::string_view MoveId,
            const policy::Verdict &Sent);

  // Brings the cuts in line with the shares that hold now.
  void refresh(policy::TimePoint WallNow);

  // Reports since the last call, each with its service.
  [[nodiscard]] std::vector<std::pair<std::string, policy::EvidenceReport>>
  takeReports(policy::NodeId Self, policy::Incarnation Run);

  // Share that this node gives to the new version of the service now.
  [[nodiscard]] double share(std::string_view Service,
                             policy::TimePoint WallNow) const;
  [[nodiscard]] policy::Verdict verdict(std::string_view Service) const;

private:
  struct Entry {
    policy::MoveRecord Record;
    policy::LocalBrake Brake;
  };

  void apply(const Entry &Changed, policy::TimePoint WallNow);

  VersionCuts &Cuts;
  const VerdictHandler OnVerdict;
  // Lets the traffic threads skip the lock while no move is in progress.
  std::atomic<std::size_t> Active = 0;
  mutable std::mutex Mutex;
  std::map<std::string, Entry, std::less<>> Entries;
};

} // namespace magnolia::daemon

#endif
