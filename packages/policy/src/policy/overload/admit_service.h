#ifndef POLICY_OVERLOAD_ADMIT_SERVICE_H
#define POLICY_OVERLOAD_ADMIT_SERVICE_H

#include "policy/core/error_kind.h"
#include "policy/overload/overload_state.h"

namespace magnolia::policy {

// Decides whether a request of a caller is admitted. Returns false if it must
// be shed with Overloaded because the service rejects too many of its requests.
[[nodiscard]] bool admitService(OverloadState &State, TimePoint Now,
                                RandomEngine &Random);

// Records the final result of an admitted request. Accepted is false only if
// the servers rejected it for lack of capacity.
void record(OverloadState &State, bool Accepted, TimePoint Now);

// Returns true for the kinds of rejection that show a lack of capacity.
[[nodiscard]] bool isCapacityRejection(ErrorKind Kind);

// Returns the probability with which the next request is shed.
[[nodiscard]] double shedProbability(const OverloadState &State, TimePoint Now);

} // namespace magnolia::policy

#endif
