#ifndef POLICY_ADMISSION_INTERNAL_RAMP_H
#define POLICY_ADMISSION_INTERNAL_RAMP_H

#include "policy/admission/admit.h"

namespace magnolia::policy::internal {

// Starts the cold-start ramp again and forgets the baseline. The last latency
// stays until the first response, so that load reports never show a slow server
// as an unknown one.
void resetRamp(AdmissionState &State, TimePoint Now);

// Adds the time since the last call to the work of the step; call it before
// the in-flight count changes.
void countWork(AdmissionState &State, TimePoint Now);

// Learns from the end of a request: latency, ramp and adaptive limit.
void learn(AdmissionState &State, const Completion &Ended, TimePoint Now);

// True where the ramp of a cold start holds the limit down.
[[nodiscard]] bool isRamping(const AdmissionState &State);

// Slots that a warm backend server has.
[[nodiscard]] std::uint32_t warmLimit(const AdmissionState &State);

} // namespace magnolia::policy::internal

#endif
