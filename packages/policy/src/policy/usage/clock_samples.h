#ifndef POLICY_USAGE_CLOCK_SAMPLES_H
#define POLICY_USAGE_CLOCK_SAMPLES_H

#include "policy/core/types.h"

#include <map>

namespace magnolia::policy {

// Difference of a member's wall clock to the collector's own clock.
struct ClockSample {
  Duration Offset{};
  TimePoint TakenAt{};
};

// Wall clocks of the members that a collector has heard of.
struct ClockSamples {
  std::map<NodeId, ClockSample> Samples;
};

} // namespace magnolia::policy

#endif
