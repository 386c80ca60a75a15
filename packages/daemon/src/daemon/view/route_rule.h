#ifndef DAEMON_VIEW_ROUTE_RULE_H
#define DAEMON_VIEW_ROUTE_RULE_H

#include "policy/core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace magnolia::daemon {

// Rule of a service file for the requests under one path prefix.
struct RouteRule {
  std::string PathPrefix;
  // Methods whose requests are idempotent; empty means GET, HEAD and OPTIONS.
  std::vector<std::string> IdempotentMethods;
  // If set, applies to every method.
  std::optional<bool> Idempotent;
  // Zero means the default deadline from the settings.
  policy::Duration Timeout{};
};

} // namespace magnolia::daemon

#endif
