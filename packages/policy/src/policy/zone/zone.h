#ifndef POLICY_ZONE_ZONE_H
#define POLICY_ZONE_ZONE_H

#include "policy/core/types.h"
#include "policy/zone/zone_view.h"

#include <chrono>

namespace magnolia::policy {

// Time over which a zone that returns gets back its whole share.
inline constexpr Duration ZoneReturnRamp = std::chrono::seconds{30};

// Share that a zone has right after its return: enough for the backend servers
// to warm up on real requests.
inline constexpr double ZoneReturnFirstWeight = 0.05;

// Takes the record over where its revision is higher than the one held, and
// returns whether the view changed.
bool applyZone(ZoneView &View, const ZoneRecord &Record, TimePoint Now);

// True where the zone may receive no new work.
[[nodiscard]] bool isOut(const ZoneView &View);

// Factor from 0 to 1 on the zone's share of new work: 0 while out of service,
// then growing from ZoneReturnFirstWeight to 1 over the ramp.
[[nodiscard]] double zoneWeight(const ZoneView &View, TimePoint Now,
                                Duration Ramp = ZoneReturnRamp);

} // namespace magnolia::policy

#endif
