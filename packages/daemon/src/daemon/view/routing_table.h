#ifndef DAEMON_VIEW_ROUTING_TABLE_H
#define DAEMON_VIEW_ROUTING_TABLE_H

#include "daemon/view/organisation_index.h"
#include "daemon/view/route_index.h"
#include "policy/core/error.h"
#include "settings/record/caller_limits.h"
#include "settings/record/host_route.h"
#include "settings/record/service_limits.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::settings {
struct RoutingChange;
} // namespace magnolia::settings

namespace magnolia::daemon {

// Routing table, indexed for the lookup of a request's route. It is immutable
// and shared by all views until the table changes. Successive tables share what
// did not change.
struct RoutingTable {
  using ServiceMap =
      std::map<std::string, settings::ServiceLimits, std::less<>>;

  std::uint64_t Version = 0;
  RouteIndex Routes;
  // Never null.
  std::shared_ptr<const ServiceMap> Services =
      std::make_shared<const ServiceMap>();
  // Never null. Without organisations requests need no key.
  std::shared_ptr<const OrganisationIndex> Organisations =
      std::make_shared<const OrganisationIndex>();
  settings::CallerLimits Callers;
  // Number of routes with large request or response bodies.
  std::size_t BulkRoutes = 0;
};

// Returns whether the table has routes with large request or response bodies.
[[nodiscard]] inline bool hasBulkRoutes(const RoutingTable &Table) {
  return Table.BulkRoutes > 0;
}

// Returns the table with the change, which was made against the value of the
// last table. Returns nothing and sets the error if a service or an
// organisation has two lines.
[[nodiscard]] std::optional<RoutingTable>
withChange(const RoutingTable &Last, const settings::RoutingChange &Change,
           policy::Error &LastError);

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
