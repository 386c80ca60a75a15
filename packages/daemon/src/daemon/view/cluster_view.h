#ifndef DAEMON_VIEW_CLUSTER_VIEW_H
#define DAEMON_VIEW_CLUSTER_VIEW_H

#include "daemon/view/routing_table.h"
#include "daemon/view/service_view.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace magnolia::daemon {

// Immutable snapshot of the fleet for the traffic threads.
struct ClusterView {
  // Increases with each published view.
  std::uint64_t Sequence = 0;
  std::map<std::string, std::shared_ptr<const ServiceView>, std::less<>>
      Services;
  // Null if the requests name their service themselves.
  std::shared_ptr<const RoutingTable> Routing;
  // True if a newer routing table than Routing is known to exist.
  bool RoutingOutdated = false;
  // Availability zones that are out of service.
  std::set<std::string, std::less<>> ZonesOut;
  // Traffic share from 0 to 1 of each zone that is returning to service. Other
  // zones have a share of 1.
  std::map<std::string, double> ZoneWeight;
};

} // namespace magnolia::daemon

#endif
