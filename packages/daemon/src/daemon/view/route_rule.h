#ifndef DAEMON_VIEW_ROUTE_RULE_H
#define DAEMON_VIEW_ROUTE_RULE_H

#include "policy/core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace magnolia::daemon {

// What a service file states about the requests under one path prefix.
struct RouteRule {
  std::string PathPrefix;
  // Methods that may run more than once; empty means GET, HEAD and OPTIONS.
  std::vector<std::string> IdempotentMethods;
  // Applies to every method where set.
  std::optional<bool> Idempotent;
  // Zero means the default deadline from the settings.
  policy::Duration Timeout{};
};

} // namespace magnolia::daemon

#endif
