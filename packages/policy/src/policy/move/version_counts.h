#ifndef POLICY_MOVE_VERSION_COUNTS_H
#define POLICY_MOVE_VERSION_COUNTS_H

#include "policy/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Answers of one version on one route in some window. Requests that were
// refused without running aren't counted: they say nothing of the version.
struct VersionCounts {
  static constexpr std::size_t BucketCount = 16;

  std::uint64_t Requests = 0;
  // Answers with a status of 500 and above, broken answers and timeouts.
  std::uint64_t Failures = 0;
  // Bucket I holds answers that took less than 2^I x 100 us; the last one also
  // holds all slower ones. Failed answers are in no bucket: a version that
  // fails fast is not fast.
  std::array<std::uint32_t, BucketCount> Latency{};
};

[[nodiscard]] std::size_t latencyBucket(Duration Latency);

void addAnswer(VersionCounts &Counts, bool Failed, Duration Latency);

void addCounts(VersionCounts &Counts, const VersionCounts &Others);

} // namespace magnolia::policy

#endif
