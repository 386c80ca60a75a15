#ifndef POLICY_ADMISSION_INTERNAL_RAMP_H
#define POLICY_ADMISSION_INTERNAL_RAMP_H

#include "policy/admission/admit.h"

namespace magnolia::policy::internal {

// Restarts the cold-start ramp and resets the baseline. The last latency is
// kept until the first response, so that load reports do not show the latency
// of a slow server as unknown.
void resetRamp(AdmissionState &State, TimePoint Now);

// Adds the time since the last call to the busy time of the step if a request
// is in flight. Must be called before the in-flight count changes.
void addBusyTime(AdmissionState &State, TimePoint Now);

// Updates latency, ramp and adaptive limit from a completed request.
void recordCompletion(AdmissionState &State, const Completion &Ended,
                      TimePoint Now);

// Returns true while the ramp of a cold start reduces the limit.
[[nodiscard]] bool isRamping(const AdmissionState &State);

// Returns the concurrency limit of a warm backend server.
[[nodiscard]] std::uint32_t warmLimit(const AdmissionState &State);

} // namespace magnolia::policy::internal

#endif
