#ifndef DAEMON_CONTROL_FLEET_RECORDS_H
#define DAEMON_CONTROL_FLEET_RECORDS_H

#include "daemon/view/routing_table.h"
#include "policy/config/config_entry.h"
#include "policy/core/error.h"
#include "policy/rollout/rollout_record.h"
#include "policy/rollout/rollout_request.h"
#include "policy/zone/zone_view.h"
#include "settings/record/routing_lines.h"
#include "settings/record/service_record.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// Parsed configuration of the fleet. If a value cannot be parsed, the last
// valid record of its key stays in effect.
struct FleetRecords {
  std::map<std::string, settings::ServiceRecord, std::less<>> Services;
  std::map<std::string, policy::ZoneView, std::less<>> Zones;
  std::map<std::string, policy::RolloutRecord, std::less<>> Rollouts;
  std::map<std::string, policy::RolloutRequest, std::less<>> RolloutRequests;
  // Null if the deployment has no routing table.
  std::shared_ptr<const RoutingTable> Routing;
  // Value from which Routing was made.
  settings::RoutingLines RoutingLines;
  // Number of routes that the last change of Routing parsed anew.
  std::size_t RoutesChanged = 0;
  std::uint64_t Malformed = 0;
};

// Returns the rollout request of the service if its rollout has not started,
// else null. Null also for a request that may be outdated because the store was
// restored from a copy.
[[nodiscard]] const policy::RolloutRequest *
pendingRolloutRequest(const FleetRecords &Records, std::string_view Service);

// Applies one entry of the configuration table. Returns false and sets the
// error if the value cannot be parsed.
bool applyEntry(FleetRecords &Records, const policy::ConfigEntry &Entry,
                policy::TimePoint SteadyNow, policy::Error &LastError);

} // namespace magnolia::daemon

#endif
