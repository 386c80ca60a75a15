#ifndef POLICY_USAGE_TRUE_TIME_H
#define POLICY_USAGE_TRUE_TIME_H

#include "policy/usage/clock_samples.h"
#include "policy/usage/usage_options.h"

#include <cstddef>
#include <optional>

namespace magnolia::policy {

// Stores the wall clock of a member, as it arrives. At most 65,536 members are
// kept.
void addClock(ClockSamples &State, NodeId Node, TimePoint Wall, TimePoint Now);

// Returns the true time: the median of the wall clocks of the last messages, so
// that a minority of wrong clocks does not shift it. Returns nothing while
// fewer than half of the live members are known.
[[nodiscard]] std::optional<TimePoint> trueTime(ClockSamples &State,
                                                std::size_t LiveMembers,
                                                TimePoint Now,
                                                const UsageOptions &Options);

} // namespace magnolia::policy

#endif
