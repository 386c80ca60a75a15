#ifndef POLICY_OUTLIER_EJECT_H
#define POLICY_OUTLIER_EJECT_H

#include "policy/outlier/health_state.h"
#include "policy/outlier/outlier_options.h"

namespace magnolia::policy {

// Latency statistics of one candidate and the median of its service.
struct LatencyStats {
  // Moving average of the latency of the candidate and the number of responses
  // in it.
  Duration Latency{0};
  std::uint32_t Samples = 0;
  // Service time in the last load report; 0 means unknown.
  Duration Reported{0};
  // Requests without a response yet and the sum of their ages.
  std::uint32_t Open = 0;
  Duration OpenAges{0};
  // Age of an unanswered probe; 0 if there is none.
  Duration ProbeAge{0};
  // Median latency of the service; 0 means unknown.
  Duration Median{0};
};

// Returns true if the responses of the candidate are much slower than those of
// its peers, or if its load report states this and the measured latency
// confirms it in part. A report alone may be wrong.
[[nodiscard]] bool isSlow(const LatencyStats &, const OutlierOptions &);

// Returns true if requests in flight or an unanswered probe alone show that the
// candidate is slow or does not respond.
[[nodiscard]] bool isOverdue(const LatencyStats &, const OutlierOptions &);

// Returns true if the failure rate of the candidate is high and well above the
// average of the other candidates.
[[nodiscard]] bool isFailing(const HealthState &, double PeerFailureRate,
                             const OutlierOptions &);

// Returns true if an ejected candidate may receive a trial request.
[[nodiscard]] bool isTrialDue(const HealthState &, TimePoint Now);

// Returns true if one more candidate may be ejected; at least half of them must
// stay eligible.
[[nodiscard]] bool mayEject(std::size_t Candidates, std::size_t Ejected);

// Adds one response or failure to the failure statistics.
void recordResult(HealthState &, bool Failed);

// Ejects the candidate; a repeated ejection doubles its back-off.
void eject(HealthState &, const OutlierOptions &, TimePoint Now);

// Records that the trial request is sent.
void beginTrial(HealthState &);

// Records the result of the trial request. Readmits the candidate after enough
// consecutive good ones; a bad one ejects it again.
void endTrial(HealthState &, bool Good, const OutlierOptions &, TimePoint Now);

// Makes the candidate healthy again and resets its statistics.
void readmit(HealthState &);

} // namespace magnolia::policy

#endif
