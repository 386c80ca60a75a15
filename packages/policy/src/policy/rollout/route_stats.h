#ifndef POLICY_ROLLOUT_ROUTE_STATS_H
#define POLICY_ROLLOUT_ROUTE_STATS_H

#include "policy/rollout/version_counts.h"

#include <string>

namespace magnolia::policy {

// Responses of both versions on one route.
struct RouteStats {
  std::string Route;
  VersionCounts New;
  VersionCounts Old;
};

} // namespace magnolia::policy

#endif
