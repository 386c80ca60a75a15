#ifndef DAEMON_ENTRY_SERVICE_RUNTIME_H
#define DAEMON_ENTRY_SERVICE_RUNTIME_H

#include "daemon/view/cluster_view.h"
#include "daemon/view/share_overrides.h"
#include "policy/hedge/hedge_state.h"
#include "policy/overload/overload_state.h"
#include "policy/probe/probe_budget.h"
#include "policy/retry/retry_budget.h"
#include "policy/route/route_query.h"
#include "policy/route/route_state.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnolia::daemon {

// Assigns consecutive indices to names in the order of their first use.
class NameTable {
public:
  [[nodiscard]] std::uint32_t indexOf(std::string_view Name);

private:
  std::map<std::string, std::uint32_t, std::less<>> Indices;
};

// State of one service at this entry node, by which its requests are decided.
struct ServiceState {
  std::uint64_t ViewSequence = 0;
  std::shared_ptr<const ServiceView> View;
  policy::RouteState Route;
  policy::RetryBudget Retries;
  policy::HedgeState Hedges;
  policy::OverloadState Overload;
  policy::ProbeBudget Probes;
  NameTable Versions;
  NameTable Zones;
  std::unordered_map<policy::NodeId, BackendEndpoint> Endpoints;
};

// The mutex guards the state and is held for short sections only.
struct ServiceRuntime : ServiceState {
  std::mutex Mutex;
};

// Applies the view if it is newer. The caller must hold the mutex.
void refresh(ServiceRuntime &Runtime, const ClusterView &View,
             const std::shared_ptr<const ServiceView> &Service,
             policy::TimePoint Now);

// Returns the traffic shares of the versions according to the rollout in
// progress and the share overrides of this node. The caller must hold the
// mutex.
[[nodiscard]] std::vector<policy::VersionShare>
versionShares(ServiceRuntime &Runtime, const ShareOverrides &Overrides);

// Services that this node has received requests for.
class ServiceTable {
public:
  // Initial options of every service.
  struct Options {
    policy::RetryOptions Retry;
    policy::OverloadOptions Overload;
    policy::RouteOptions Route;
  };

  ServiceTable() = default;
  explicit ServiceTable(const Options &Initial) : Initial(Initial) {}

  // Returns the runtime of a service and creates it at first use. Returns null
  // if the view does not contain the service.
  [[nodiscard]] std::shared_ptr<ServiceRuntime>
  find(const ClusterView &View, std::string_view Name, policy::TimePoint Now);
  // Returns a copy of the runtime with the view applied, or a new one if the
  // service has had no requests yet; the table stays as it is. Returns null if
  // the view does not contain the service.
  [[nodiscard]] std::shared_ptr<ServiceRuntime>
  copy(const ClusterView &View, std::string_view Name,
       policy::TimePoint Now) const;
  [[nodiscard]] std::vector<
      std::pair<std::string, std::shared_ptr<ServiceRuntime>>>
  all() const;

private:
  [[nodiscard]] std::shared_ptr<ServiceRuntime> make() const;

  const Options Initial;
  mutable std::mutex Mutex;
  std::map<std::string, std::shared_ptr<ServiceRuntime>, std::less<>> Services;
};

} // namespace magnolia::daemon

#endif
