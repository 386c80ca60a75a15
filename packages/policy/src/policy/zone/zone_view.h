#ifndef POLICY_ZONE_ZONE_VIEW_H
#define POLICY_ZONE_ZONE_VIEW_H

#include "policy/core/types.h"
#include "policy/zone/zone_record.h"

#include <optional>

namespace magnolia::policy {

// State of a zone as known to one node: the record, and the time at which the
// node saw the zone return.
struct ZoneView {
  ZoneRecord Record;
  // Time on the node's own clock, so that clocks of different machines are
  // never compared. Empty if the node has not seen the zone out of service.
  std::optional<TimePoint> ReturnedAt;
};

} // namespace magnolia::policy

#endif
