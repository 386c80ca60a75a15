#ifndef SETTINGS_RECORD_ROUTING_CHANGE_H
#define SETTINGS_RECORD_ROUTING_CHANGE_H

#include "policy/core/error.h"
#include "settings/record/caller_limits.h"
#include "settings/record/host_route.h"
#include "settings/record/organisation_record.h"
#include "settings/record/service_limits.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::settings {

struct RoutingLines;

// Difference between the routing table in effect and a new value. A route that
// changed is in both lists of routes, a service in both lists of services, an
// organisation in both lists of organisations.
struct RoutingChange {
  std::uint64_t Version = 0;
  CallerLimits Callers;
  std::vector<std::shared_ptr<const HostRoute>> RemovedRoutes;
  std::vector<std::shared_ptr<const HostRoute>> AddedRoutes;
  std::vector<ServiceLimits> RemovedServices;
  std::vector<ServiceLimits> AddedServices;
  std::vector<OrganisationRecord> RemovedOrganisations;
  std::vector<OrganisationRecord> AddedOrganisations;
  // Numbers in the new table.
  std::size_t Routes = 0;
  std::size_t Services = 0;
  // The new value as lines, if it was a JSON document of the previous format.
  std::optional<std::string> Converted;
};

// Parses the lines of the value that differ from those in effect. Returns
// nothing if the value breaks the format or a limit; the error names the first
// such line.
[[nodiscard]] std::optional<RoutingChange>
compareRouting(const RoutingLines &Last, std::string_view Value,
               policy::Error &LastError);

// Makes the value that was compared the one in effect.
void remember(RoutingLines &Lines, std::string_view Value,
              const RoutingChange &Change);

} // namespace magnolia::settings

#endif
