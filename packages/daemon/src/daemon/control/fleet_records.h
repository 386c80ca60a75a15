#ifndef DAEMON_CONTROL_FLEET_RECORDS_H
#define DAEMON_CONTROL_FLEET_RECORDS_H

#include "daemon/view/routing_table.h"
#include "policy/config/config_entry.h"
#include "policy/core/error.h"
#include "policy/move/move_record.h"
#include "policy/move/order.h"
#include "policy/zone/zone_view.h"
#include "settings/record/service_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// The configuration of the fleet, parsed. A value that cannot be read leaves
// the last good record of its key in effect.
struct FleetRecords {
  std::map<std::string, settings::ServiceRecord, std::less<>> Services;
  std::map<std::string, policy::ZoneView, std::less<>> Zones;
  std::map<std::string, policy::MoveRecord, std::less<>> Moves;
  std::map<std::string, policy::MoveOrder, std::less<>> Orders;
  // Null where the deployment has no routing table.
  std::shared_ptr<const RoutingTable> Routing;
  std::uint64_t Malformed = 0;
};

// The order of a service whose move has not begun, or null.
[[nodiscard]] const policy::MoveOrder *openOrder(const FleetRecords &Records,
                                                 std::string_view Service);

// Takes over one entry of the configuration table. Returns false, with the
// reason, where the value cannot be read.
bool applyEntry(FleetRecords &Records, const policy::ConfigEntry &Entry,
                policy::TimePoint SteadyNow, policy::Error &LastError);

} // namespace magnolia::daemon

#endif
