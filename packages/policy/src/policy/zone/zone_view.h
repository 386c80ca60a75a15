#ifndef POLICY_ZONE_ZONE_VIEW_H
#define POLICY_ZONE_ZONE_VIEW_H

#include "policy/core/types.h"
#include "policy/zone/zone_record.h"

#include <optional>

namespace magnolia::policy {

// What one node knows of a zone: the record, and when it saw the zone return.
struct ZoneView {
  ZoneRecord Record;
  // Time on the node's own clock, so no clock is compared with another
  // machine's. Empty where the node has not seen the zone out of service.
  std::optional<TimePoint> ReturnedAt;
};

} // namespace magnolia::policy

#endif
