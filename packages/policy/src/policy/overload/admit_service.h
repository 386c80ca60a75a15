#ifndef POLICY_OVERLOAD_ADMIT_SERVICE_H
#define POLICY_OVERLOAD_ADMIT_SERVICE_H

#include "policy/core/error_kind.h"
#include "policy/overload/overload_state.h"

namespace magnolia::policy {

// Decides on a request from a caller; false where it is to be rejected at once
// with Overloaded because the service rejects much of what it gets.
[[nodiscard]] bool admitService(OverloadState &State, TimePoint Now,
                                RandomEngine &Random);

// Counts the final result of a request that was admitted. Accepted is false
// only where the servers rejected it for lack of capacity.
void record(OverloadState &State, bool Accepted, TimePoint Now);

// True for the kinds of rejection that show a lack of capacity.
[[nodiscard]] bool isCapacityRejection(ErrorKind Kind);

// Probability with which the next request is shed.
[[nodiscard]] double shedProbability(const OverloadState &State, TimePoint Now);

} // namespace magnolia::policy

#endif
