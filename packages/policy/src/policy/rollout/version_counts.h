#ifndef POLICY_ROLLOUT_VERSION_COUNTS_H
#define POLICY_ROLLOUT_VERSION_COUNTS_H

#include "policy/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Responses of one version on one route over some period. Requests that were
// rejected without running are not counted, as they carry no information about
// the version.
struct VersionCounts {
  static constexpr std::size_t BucketCount = 16;

  std::uint64_t Requests = 0;
  // Responses with status 500 or above, malformed responses and time-outs.
  std::uint64_t Failures = 0;
  // Bucket I holds responses that took less than 2^I x 100 us; the last one
  // also holds all slower ones. Failed responses are not counted in any bucket,
  // so that a version that fails fast does not appear fast.
  std::array<std::uint32_t, BucketCount> Latency{};
};

[[nodiscard]] std::size_t latencyBucket(Duration Latency);

void addResponse(VersionCounts &Counts, bool Failed, Duration Latency);

void addCounts(VersionCounts &Counts, const VersionCounts &Others);

} // namespace magnolia::policy

#endif
