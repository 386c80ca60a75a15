#ifndef POLICY_ADMISSION_INTERNAL_COLD_RATE_H
#define POLICY_ADMISSION_INTERNAL_COLD_RATE_H

#include "policy/admission/admit.h"

#include <cstddef>

namespace magnolia::policy::internal {

// Returns true if the rate of a cold server delays requests at this time, with
// Options.PacesCold.
[[nodiscard]] bool isPaced(const AdmissionState &State, TimePoint Now);

// Returns true if a cold server accepts no request at this time.
[[nodiscard]] bool isColdRateReached(AdmissionState &State, TimePoint Now);

// Returns the earliest time, Now or later, at which the rate permits a request
// to start. The server must be paced.
[[nodiscard]] TimePoint nextColdStart(const AdmissionState &State,
                                      TimePoint Now);

// Estimates how long the rate delays a request behind this number of others; 0
// if the server is not paced.
[[nodiscard]] Duration expectedColdWait(const AdmissionState &State,
                                        std::size_t Before, TimePoint Now);

// Records the start of a request, and gives back the place of one that was
// recorded at StartedAt but not sent. Nothing changes if the server is not
// paced.
void recordColdStart(AdmissionState &State, TimePoint Now);
void returnColdStart(AdmissionState &State, TimePoint StartedAt, TimePoint Now);

} // namespace magnolia::policy::internal

#endif
