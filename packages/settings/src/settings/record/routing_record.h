#ifndef SETTINGS_RECORD_ROUTING_RECORD_H
#define SETTINGS_RECORD_ROUTING_RECORD_H

#include "settings/record/caller_limits.h"
#include "settings/record/host_route.h"
#include "settings/record/organisation_record.h"
#include "settings/record/service_limits.h"

#include <cstdint>
#include <vector>

namespace magnolia::settings {

// Routing table of a deployment whose callers name a host and a path instead
// of a service, under routing/table. It replaces the service files in such a
// deployment.
struct RoutingRecord {
  std::uint64_t Version = 0;
  std::vector<HostRoute> Routes;
  std::vector<ServiceLimits> Services;
  // Empty if requests need no key.
  std::vector<OrganisationRecord> Organisations;
  CallerLimits Callers;

  bool operator==(const RoutingRecord &) const = default;
};

} // namespace magnolia::settings

#endif
