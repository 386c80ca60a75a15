#ifndef DAEMON_VIEW_SERVICE_VIEW_H
#define DAEMON_VIEW_SERVICE_VIEW_H

#include "daemon/view/backend_endpoint.h"
#include "daemon/view/route_rule.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::daemon {

// Immutable snapshot of one service for the traffic threads.
struct ServiceView {
  std::string Name;
  std::vector<BackendEndpoint> Backends;
  std::vector<RouteRule> Rules;
  // Budget of retries and hedges per request.
  double RetryRatio = 0.1;
  // Budget of probes per request, plus a number of probes per second.
  double ProbeRatio = 0.01;
  double ProbeFloorPerSecond = 5;
  // Hedges as a percentage of the requests; without a value, the setting of the
  // node applies.
  std::optional<std::uint64_t> HedgePercent;
  // Rollout in progress; RolloutId is empty if there is none.
  std::string RolloutId;
  std::string OldVersion;
  std::string NewVersion;
  // Share from 0 to 1 of the requests that go to the new version.
  double NewShare = 0;
};

// Returns the rule with the longest prefix of the path, or null.
[[nodiscard]] const RouteRule *findRule(const ServiceView &Service,
                                        std::string_view Path);

// Returns whether the request may run more than once. Without a rule that is so
// for GET, HEAD and OPTIONS.
[[nodiscard]] bool isIdempotent(const RouteRule *Rule, std::string_view Method);

} // namespace magnolia::daemon

#endif
