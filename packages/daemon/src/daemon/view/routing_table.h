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

// Routing table in the form in which requests look it up. Immutable and shared
// by all views until the table changes.
struct RoutingTable {
  std::uint64_t Version = 0;
  // Routes of each host, the longest prefix first.
  std::map<std::string, std::vector<settings::HostRoute>, std::less<>> Hosts;
  std::map<std::string, settings::ServiceLimits, std::less<>> Services;
  settings::CallerLimits Callers;
};

[[nodiscard]] RoutingTable makeRoutingTable(settings::RoutingRecord Record);

// Route with the longest prefix that begins the path, or null.
[[nodiscard]] const settings::HostRoute *findRoute(const RoutingTable &Table,
                                                   std::string_view Host,
                                                   std::string_view Path);

// Target of a point from 0 to 1 on the line that the weights divide.
[[nodiscard]] const settings::RouteTarget &
targetAt(const settings::HostRoute &Route, double Point);

} // namespace magnolia::daemon

#endif
