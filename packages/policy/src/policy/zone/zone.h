#ifndef POLICY_ZONE_ZONE_H
#define POLICY_ZONE_ZONE_H

#include "policy/core/types.h"
#include "policy/zone/zone_view.h"

#include <chrono>

namespace magnolia::policy {

// Time until a zone that returns to service receives its full share again.
inline constexpr Duration ZoneReturnRamp = std::chrono::seconds{30};

// Weight of a zone immediately after its return: enough for the backend servers
// to warm up on real requests.
inline constexpr double ZoneReturnFirstWeight = 0.05;

// Applies the record if its revision is higher than the current one. Returns
// true if the view changed.
bool applyZone(ZoneView &View, const ZoneRecord &Record, TimePoint Now);

// Returns true if the zone must not receive new requests.
[[nodiscard]] bool isOut(const ZoneView &View);

// Returns the factor, from 0 to 1, on the share of new requests of the zone: 0
// while the zone is out of service, then rising from ZoneReturnFirstWeight to 1
// over the ramp.
[[nodiscard]] double zoneWeight(const ZoneView &View, TimePoint Now,
                                Duration Ramp = ZoneReturnRamp);

} // namespace magnolia::policy

#endif
