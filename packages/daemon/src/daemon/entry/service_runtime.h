#ifndef DAEMON_ENTRY_SERVICE_RUNTIME_H
#define DAEMON_ENTRY_SERVICE_RUNTIME_H

#include "daemon/view/cluster_view.h"
#include "daemon/view/version_cuts.h"
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

// Small numbers for names, in the order of their first use.
class NameTable {
public:
  [[nodiscard]] std::uint32_t indexOf(std::string_view Name);

private:
  std::map<std::string, std::uint32_t, std::less<>> Indices;
};

// All that this entry node keeps about one service. The mutex guards every
// other member and is held for short sections only.
struct ServiceRuntime {
  std::mutex Mutex;
  std::uint64_t ViewSequence = 0;
  std::shared_ptr<const ServiceView> View;
  policy::RouteState Route;
  policy::RetryBudget Retries;
  policy::OverloadState Overload;
  policy::ProbeBudget Probes;
  NameTable Versions;
  NameTable Zones;
  std::unordered_map<policy::NodeId, BackendEndpoint> Endpoints;
};

// Takes a newer view over. Needs the mutex.
void refresh(ServiceRuntime &Runtime, const ClusterView &View,
             const std::shared_ptr<const ServiceView> &Service,
             policy::TimePoint Now);

// Shares of the versions by the move in progress and the cuts of this node.
// Needs the mutex.
[[nodiscard]] std::vector<policy::VersionShare>
versionShares(ServiceRuntime &Runtime, const VersionCuts &Cuts);

// The services that this node has had requests for.
class ServiceTable {
public:
  // Options that every service starts with.
  struct Options {
    policy::RetryOptions Retry;
    policy::OverloadOptions Overload;
    policy::RouteOptions Route;
  };

  ServiceTable() = default;
  explicit ServiceTable(const Options &Initial) : Initial(Initial) {}

  // Runtime of a service of the view, made at its first use; null for a
  // service that the view does not have.
  [[nodiscard]] std::shared_ptr<ServiceRuntime>
  find(const ClusterView &View, std::string_view Name, policy::TimePoint Now);
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
