#ifndef DAEMON_VIEW_ROUTING_TABLE_H
#define DAEMON_VIEW_ROUTING_TABLE_H

#include "settings/record/caller_limits.h"
#include "settings/record/host_route.h"
#include "settings/record/routing_record.h"
#include "settings/record/service_limits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::daemon {

// Routing table, indexed for the lookup of a request's route. It is immutable
// and shared by all views until the table changes.
struct RoutingTable {
  std::uint64_t Version = 0;
  // Routes of each host, the longest prefix first.
  std::map<std::string, std::vector<settings::HostRoute>, std::less<>> Hosts;
  std::map<std::string, settings::ServiceLimits, std::less<>> Services;
  settings::CallerLimits Callers;
};

[[nodiscard]] RoutingTable makeRoutingTable(settings::RoutingRecord Record);

// Returns the route of the host with the longest prefix of the path, or null.
[[nodiscard]] const settings::HostRoute *findRoute(const RoutingTable &Table,
                                                   std::string_view Host,
                                                   std::string_view Path);

// Selects a target in proportion to the weights, for a random point from 0
// to 1.
[[nodiscard]] const settings::RouteTarget &
targetAt(const settings::HostRoute &Route, double Point);

} // namespace magnolia::daemon

#endif
