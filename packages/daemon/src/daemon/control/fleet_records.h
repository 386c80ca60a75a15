#ifndef DAEMON_CONTROL_FLEET_RECORDS_H
#define DAEMON_CONTROL_FLEET_RECORDS_H

#include "policy/config/config_entry.h"
#include "policy/core/error.h"
#include "policy/move/move_record.h"
#include "policy/zone/zone_view.h"
#include "settings/record/service_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace magnolia::daemon {

// The configuration of the fleet, parsed. A value that cannot be read leaves
// the last good record of its key in effect.
struct FleetRecords {
  std::map<std::string, settings::ServiceRecord, std::less<>> Services;
  std::map<std::string, policy::ZoneView, std::less<>> Zones;
  std::map<std::string, policy::MoveRecord, std::less<>> Moves;
  std::uint64_t Malformed = 0;
};

// Takes over one entry of the configuration table. Returns false, with the
// reason, where the value cannot be read.
bool applyEntry(FleetRecords &Records, const policy::ConfigEntry &Entry,
                policy::TimePoint SteadyNow, policy::Error &LastError);

} // namespace magnolia::daemon

#endif
