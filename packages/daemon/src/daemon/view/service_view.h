#ifndef DAEMON_VIEW_SERVICE_VIEW_H
#define DAEMON_VIEW_SERVICE_VIEW_H

#include "daemon/view/backend_endpoint.h"
#include "daemon/view/route_rule.h"

#include <string>
#include <string_view>
#include <vector>

namespace magnolia::daemon {

// Immutable snapshot of one service for the traffic threads.
struct ServiceView {
  std::string Name;
  std::vector<BackendEndpoint> Backends;
  std::vector<RouteRule> Rules;
  // Extra attempts per request that retries and hedges may use.
  double RetryRatio = 0.1;
  // Probes per request, and probes per second on top.
  double ProbeRatio = 0.01;
  double ProbeFloorPerSecond = 5;
  // Move in progress; MoveId is empty where there is none.
  std::string MoveId;
  std::string OldVersion;
  std::string NewVersion;
  // Share of the requests that goes to the new version, 0 to 1.
  double NewShare = 0;
};

// Rule with the longest prefix of the path, or null.
[[nodiscard]] const RouteRule *findRule(const ServiceView &Service,
                                        std::string_view Path);

// True where the request may run more than once. Without a rule this holds
// for GET, HEAD and OPTIONS.
[[nodiscard]] bool isIdempotent(const RouteRule *Rule, std::string_view Method);

} // namespace magnolia::daemon

#endif
