#ifndef POLICY_OUTLIER_EJECT_H
#define POLICY_OUTLIER_EJECT_H

#include "policy/outlier/health_state.h"
#include "policy/outlier/outlier_options.h"

namespace magnolia::policy {

// Evidence about the latency of one candidate against its service.
struct LatencyEvidence {
  // Moving average of the candidate and the responses in it.
  Duration Latency{0};
  std::uint32_t Samples = 0;
  // Service time in the last load report; 0 means unknown.
  Duration Reported{0};
  // Requests without a response yet and the sum of their ages.
  std::uint32_t Open = 0;
  Duration OpenAges{0};
  // Age of a probe without an answer; 0: none.
  Duration ProbeAge{0};
  // Median latency of the service; 0 means unknown.
  Duration Median{0};
};

// True where the responses of the candidate are much slower than its peers',
// or its own report says so and the measured latency agrees in part: a report
// alone may be wrong.
[[nodiscard]] bool isSlow(const LatencyEvidence &, const OutlierOptions &);

// True where open requests or an unanswered probe alone show that the candidate
// is slow or silent.
[[nodiscard]] bool isOverdue(const LatencyEvidence &, const OutlierOptions &);

// True where the failures of the candidate stand out from the average failure
// rate of the other candidates.
[[nodiscard]] bool isFailing(const HealthState &, double PeerFailureRate,
                             const OutlierOptions &);

// True where an ejected candidate may receive one trial request.
[[nodiscard]] bool isTrialDue(const HealthState &, TimePoint Now);

// True where one more of the candidates may be ejected: at least half of them
// stay eligible.
[[nodiscard]] bool mayEject(std::size_t Candidates, std::size_t Ejected);

// Adds one response or failure to the failure statistics.
void recordResult(HealthState &, bool Failed);

// Ejects the candidate; a repeated ejection doubles its back-off.
void eject(HealthState &, const OutlierOptions &, TimePoint Now);

// Marks the one trial request as sent.
void beginTrial(HealthState &);

// Ends the trial request; returns to Healthy after enough good trials.
void endTrial(HealthState &, bool Good, const OutlierOptions &, TimePoint Now);

// Returns the candidate to traffic and forgets its statistics.
void readmit(HealthState &);

} // namespace magnolia::policy

#endif
