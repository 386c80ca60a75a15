#ifndef POLICY_CHAIN_PLAN_RETURN_H
#define POLICY_CHAIN_PLAN_RETURN_H

#include "policy/chain/route_admission_state.h"
#include "policy/core/error_kind.h"

#include <cstdint>
#include <string_view>

namespace magnolia::policy {

struct RouteArrival;

// Returns the time after which a rejected caller should return: the expected
// moment at which capacity is free that is not promised to another caller yet.
// The place is kept if the caller is likely to wait that long. A caller that
// returned before its time is told the same moment again.
[[nodiscard]] Duration planReturn(RouteAdmissionState &State,
                                  const RouteArrival &Arrival, ErrorKind Kind,
                                  TimePoint Now, RandomEngine &Random);

// Whether a request comes from a caller that was asked to return.
enum class ReturnStatus : std::uint8_t {
  // A new caller, or one without a place.
  New,
  // The caller was asked to return later than now.
  Early,
  // A place was kept for the caller, which the call has taken.
  Kept,
};

// Compares the request with the promises of the route.
[[nodiscard]] ReturnStatus takePlace(AdmittedRoute &Route,
                                     TimePoint CallerDeadline, TimePoint Now);

} // namespace magnolia::policy

#endif
