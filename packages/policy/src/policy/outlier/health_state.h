#ifndef POLICY_OUTLIER_HEALTH_STATE_H
#define POLICY_OUTLIER_HEALTH_STATE_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Healthy candidates receive traffic. Ejected ones receive none until their
// back-off ends, and then single trial requests. Trial means that a trial
// request is in flight.
enum class HealthPhase : std::uint8_t { Healthy, Ejected, Trial };

// Outlier state of one candidate.
struct HealthState {
  HealthPhase Phase = HealthPhase::Healthy;
  std::uint32_t Consecutive = 0;
  std::uint32_t GoodTrials = 0;
  // Moving average of the results: 0 for a response, 1 for a failure.
  float FailureRate = 0;
  Duration BackOff{0};
  // Earliest time of the next trial request.
  TimePoint NextTrialAt{};
};

} // namespace magnolia::policy

#endif
