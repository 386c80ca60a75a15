#ifndef DAEMON_CONTROL_VIEW_BUILDER_H
#define DAEMON_CONTROL_VIEW_BUILDER_H

#include "daemon/control/fleet_records.h"
#include "daemon/view/cluster_view.h"
#include "policy/core/types.h"
#include "policy/membership/member.h"

#include <span>

namespace magnolia::daemon {

// What a view is built from.
struct ViewInput {
  const policy::Member &Self;
  std::span<const policy::Member> Members;
  const FleetRecords &Records;
  policy::Duration ZoneDistance{};
  policy::Duration RegionDistance{};
  policy::TimePoint SteadyNow;
  policy::TimePoint WallNow;
};

// View of the fleet for the traffic threads. A service has the backend servers
// of its live members whose version may serve: with a move in progress both
// versions of the move, after its end the one that remains.
[[nodiscard]] ClusterView buildView(const ViewInput &Input);

} // namespace magnolia::daemon

#endif
