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

// Immutable snapshot of all that the traffic threads know of the fleet.
struct ClusterView {
  // Higher in each published view.
  std::uint64_t Sequence = 0;
  std::map<std::string, std::shared_ptr<const ServiceView>, std::less<>>
      Services;
  // Null where services are named by the requests.
  std::shared_ptr<const RoutingTable> Routing;
  // Availability zones that are out of service.
  std::set<std::string, std::less<>> ZonesOut;
  // Traffic share of zones that return to service, 0 to 1; absent means 1.
  std::map<std::string, double> ZoneWeight;
};

} // namespace magnolia::daemon

#endif
