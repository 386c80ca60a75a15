#ifndef POLICY_OUTLIER_OUTLIER_OPTIONS_H
#define POLICY_OUTLIER_OUTLIER_OPTIONS_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Thresholds of outlier ejection.
struct OutlierOptions {
  // Factor over the median of the service at which a moving average of
  // latency counts as slow. A noisy neighbour together with a short queue
  // reaches five; a tenfold slowdown passes seven.
  double SlowFactor = 7.0;
  // Factor that the measured latency must exceed where the load report of the
  // candidate exceeds SlowFactor.
  double AgreeFactor = 1.5;
  // Responses before a moving average of latency is evidence.
  std::uint32_t MinSamples = 3;
  // Requests that are still open are slow when the sum of their ages, in
  // units of the mean latency, exceeds OpenBase + OpenPerRequest * count. The
  // two numbers follow the 0.01% tail of a sum of exponential ages.
  double OpenBase = 9.0;
  double OpenPerRequest = 1.75;
  // A sidecar answers a probe at once; one this old shows a silent node.
  Duration ProbeTimeout = std::chrono::milliseconds(30);
  // Shorter ages and averages are never evidence: they may be scheduling
  // noise.
  Duration MinSlow = std::chrono::milliseconds(4);
  // Consecutive failures that eject a candidate.
  std::uint32_t ConsecutiveFailures = 3;
  // Moving failure rate that ejects a candidate, and the factor over the
  // average of the other candidates that it must also exceed: a fault that
  // every candidate shares is not an outlier.
  double FailureRate = 0.5;
  double FailureFactor = 2.0;
  // Time until the first trial request; doubles with each failed trial.
  Duration FirstBackOff = std::chrono::milliseconds(200);
  Duration MaxBackOff = std::chrono::seconds(10);
  // Factor over the median that a good trial stays below. A single response
  // of a tenfold slower server is this fast in about 5% of the cases.
  double TrialFactor = 2.5;
  // Good trials in a row that readmit a candidate.
  std::uint32_t TrialsToReadmit = 2;
};

} // namespace magnolia::policy

#endif
