#ifndef DAEMON_CONTROL_ROLLOUT_BREAKERS_H
#define DAEMON_CONTROL_ROLLOUT_BREAKERS_H

#include "daemon/view/fwd.h"
#include "policy/core/types.h"
#include "policy/rollout/rollout_breaker.h"
#include "policy/rollout/rollout_record.h"
#include "policy/rollout/stats_report.h"

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

// Circuit breakers of this node for all rollouts in progress. The traffic
// threads record each response here, so that a bad version gets no traffic from
// the next routing decision on. The control thread sets the rollouts and
// collects the reports.
class RolloutBreakers {
public:
  // Called by the traffic thread whose response made the verdict bad.
  using VerdictHandler = std::function<void(
      std::string Service, std::string RolloutId, policy::Verdict Current)>;

  RolloutBreakers(ShareOverrides &Overrides, VerdictHandler Handler);

  // Records one response. Services without a rollout are ignored.
  void count(const ResponseSample &Sample);

  // Stores the rollout record of a service. Removes the circuit breaker once
  // the rollout has ended.
  void setRecord(const policy::RolloutRecord &Record);
  void removeRecord(std::string_view Service);

  // Merges a verdict of another node. Returns whether the verdict became bad.
  bool join(std::string_view Service, std::string_view RolloutId,
            const policy::Verdict &Sent);

  // Updates the traffic share overrides to the shares at the given time.
  void refresh(policy::TimePoint WallNow);

  // Returns the reports since the last call, each with its service.
  [[nodiscard]] std::vector<std::pair<std::string, policy::StatsReport>>
  takeReports(policy::NodeId Self, policy::Incarnation Run);

  // Traffic share that this node gives to the new version of the service.
  [[nodiscard]] double share(std::string_view Service,
                             policy::TimePoint WallNow) const;
  [[nodiscard]] policy::Verdict verdict(std::string_view Service) const;

private:
  struct Entry {
    policy::RolloutRecord Record;
    policy::RolloutBreaker Breaker;
  };

  void apply(const Entry &Changed, policy::TimePoint WallNow);

  ShareOverrides &Overrides;
  const VerdictHandler OnVerdict;
  // Lets the traffic threads skip the lock while no rollout is in progress.
  std::atomic<std::size_t> Active = 0;
  mutable std::mutex Mutex;
  std::map<std::string, Entry, std::less<>> Entries;
};

} // namespace magnolia::daemon

#endif
