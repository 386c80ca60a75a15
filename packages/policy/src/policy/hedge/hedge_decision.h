#ifndef POLICY_HEDGE_HEDGE_DECISION_H
#define POLICY_HEDGE_HEDGE_DECISION_H

#include "policy/core/types.h"

#include <cstdint>
#include <string_view>

namespace magnolia::policy {

// Reason why no hedge is sent.
enum class HedgeRefusal : std::uint8_t {
  None,
  NotIdempotent,
  Stopping,
  // The time left is shorter than the usual response time.
  NoTimeLeft,
  // Most of the requests of the last second were late as well.
  ServiceSlow,
  // The servers with fresh reports have little free capacity.
  ServiceBusy,
  // No other server has a fresh report with a free slot.
  NoRoom,
  Limit,
  // The number of attempts or the retry budget is used up.
  Attempts,
};

[[nodiscard]] constexpr std::string_view toString(HedgeRefusal Reason) {
  switch (Reason) {
  case HedgeRefusal::None:
    return "none";
  case HedgeRefusal::NotIdempotent:
    return "not_idempotent";
  case HedgeRefusal::Stopping:
    return "stopping";
  case HedgeRefusal::NoTimeLeft:
    return "no_time_left";
  case HedgeRefusal::ServiceSlow:
    return "service_slow";
  case HedgeRefusal::ServiceBusy:
    return "service_busy";
  case HedgeRefusal::NoRoom:
    return "no_room";
  case HedgeRefusal::Limit:
    return "limit";
  case HedgeRefusal::Attempts:
    return "attempts";
  }
  return "none";
}

// A hedge is sent to Target if Refusal is None.
struct HedgeDecision {
  HedgeRefusal Refusal = HedgeRefusal::None;
  NodeId Target = 0;
  // Free slots of the target by its last report.
  std::uint32_t Room = 0;
};

} // namespace magnolia::policy

#endif
