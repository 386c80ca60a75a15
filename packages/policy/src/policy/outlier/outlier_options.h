#ifndef POLICY_OUTLIER_OUTLIER_OPTIONS_H
#define POLICY_OUTLIER_OUTLIER_OPTIONS_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Thresholds of outlier ejection.
struct OutlierOptions {
  // Factor over the median latency of the service above which a moving average
  // of latency counts as slow. A noisy neighbour together with a short queue
  // reaches 5; a tenfold slowdown exceeds 7.
  double SlowFactor = 7.0;
  // Factor over the median that the measured latency must exceed to confirm a
  // load report that exceeds SlowFactor.
  double ConfirmFactor = 1.5;
  // Minimum number of responses before a moving average of latency is used.
  std::uint32_t MinSamples = 3;
  // Requests in flight are overdue if the sum of their ages, in units of the
  // mean latency, exceeds OverdueBase + OverduePerRequest * count. The two
  // values approximate the 0.01% tail of a sum of exponentially distributed
  // ages.
  double OverdueBase = 9.0;
  double OverduePerRequest = 1.75;
  // Age at which an unanswered probe shows that the node does not respond. A
  // sidecar responds to a probe at once.
  Duration ProbeTimeout = std::chrono::milliseconds(30);
  // Shorter ages and averages are ignored: they may be scheduling noise.
  Duration MinSlowLatency = std::chrono::milliseconds(4);
  // Consecutive failures that eject a candidate.
  std::uint32_t ConsecutiveFailures = 3;
  // Moving average of the failure rate that ejects a candidate, and the factor
  // over the average of the other candidates that it must also exceed. A fault
  // that all candidates share does not make one an outlier.
  double FailureRate = 0.5;
  double FailureFactor = 2.0;
  // Time until the first trial request; doubles with each failed trial request.
  Duration FirstBackOff = std::chrono::milliseconds(200);
  Duration MaxBackOff = std::chrono::seconds(10);
  // Factor over the median below which the response to a trial request counts
  // as good. A single response of a server with a tenfold slowdown is this fast
  // in about 5% of the cases.
  double TrialFactor = 2.5;
  // Consecutive good trial requests that readmit a candidate.
  std::uint32_t TrialsToReadmit = 2;
};

} // namespace magnolia::policy

#endif
