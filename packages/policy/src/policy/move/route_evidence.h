#ifndef POLICY_MOVE_ROUTE_EVIDENCE_H
#define POLICY_MOVE_ROUTE_EVIDENCE_H

#include "policy/move/version_counts.h"

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
