#include "policy/rollout/version_counts.h"

#include <chrono>

namespace magnolia::policy {

std::size_t latencyBucket(Duration Latency) {
  Duration Bound = std::chrono::microseconds{100};
  std::size_t Bucket = 0;
  while (Bucket + 1 < VersionCounts::BucketCount && Latency >= Bound) {
    Bound *= 2;
    ++Bucket;
  }
  return Bucket;
}

void addResponse(VersionCounts &Counts, bool Failed, Duration Latency) {
  ++Counts.Requests;
  if (Failed) {
    ++Counts.Failures;
  } else {
    ++Counts.Latency[latencyBucket(Latency)];
  }
}

void addCounts(VersionCounts &Counts, const VersionCounts &Others) {
  Counts.Requests += Others.Requests;
  Counts.Failures += Others.Failures;
  for (std::size_t I = 0; I < VersionCounts::BucketCount; ++I) {
    Counts.Latency[I] += Others.Latency[I];
  }
}

} // namespace magnolia::policy
