#ifndef DAEMON_CONTROL_VIEW_BUILDER_H
#define DAEMON_CONTROL_VIEW_BUILDER_H

#include "daemon/control/fleet_records.h"
#include "daemon/view/cluster_view.h"
#include "policy/core/types.h"
#include "policy/membership/member.h"

#include <span>

namespace magnolia::daemon {

// Input from which a view is built.
struct ViewInput {
  const policy::Member &Self;
  std::span<const policy::Member> Members;
  const FleetRecords &Records;
  bool RoutingOutdated = false;
  policy::Duration ZoneDistance{};
  policy::Duration RegionDistance{};
  policy::TimePoint SteadyNow;
  policy::TimePoint WallNow;
};

// Builds the view of the fleet for the traffic threads. A service has the
// backend servers of its live members that run a version in service: both
// versions during a rollout, the remaining version after it.
[[nodiscard]] ClusterView buildView(const ViewInput &Input);

} // namespace magnolia::daemon

#endif
