#ifndef POLICY_ADMISSION_COLD_PACE_H
#define POLICY_ADMISSION_COLD_PACE_H

#include "policy/core/types.h"

#include <cstdint>

namespace magnolia::policy {

// Spaces the requests that a cold backend server starts evenly. After a pause,
// ColdBurst of them may start at once; the following starts are delayed until
// the average is the rate again.
struct ColdPace {
  // Earliest time of the next start that is not part of a burst.
  TimePoint Next{};
  // Starts of the current burst that may still happen before Next.
  std::uint32_t EarlyLeft = 0;
};

// Two starts at once leave a gap of two intervals. Larger bursts leave gaps
// that exceed the maximum wait of nested calls.
inline constexpr std::uint32_t ColdBurst = 2;

// Returns the interval between two starts. PerSecond must be positive.
[[nodiscard]] Duration paceInterval(double PerSecond);

// Returns the earliest time at which a request may start: Now or later.
[[nodiscard]] TimePoint nextPacedStart(const ColdPace &Pace, double PerSecond,
                                       TimePoint Now);

// Records the start of a request.
void recordPacedStart(ColdPace &Pace, double PerSecond, TimePoint Now);

// Gives back the place of a recorded start whose request was never sent.
void returnPacedStart(ColdPace &Pace, double PerSecond, TimePoint Now);

} // namespace magnolia::policy

#endif
