#ifndef POLICY_ROLLOUT_COMPARE_VERSIONS_H
#define POLICY_ROLLOUT_COMPARE_VERSIONS_H

#include "policy/rollout/verdict.h"
#include "policy/rollout/version_counts.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnolia::policy {

// Minimum number of responses of the new version for a verdict that it is slow.
inline constexpr std::uint64_t MinSlowResponses = 3;

// Result of comparing the new version with the old one on one route.
enum class Comparison : std::uint8_t {
  // No statistically significant difference.
  Similar,
  // Fails more often than the old version.
  Fails,
  // Most responses are slower than nearly all responses of the old version.
  Slows,
};

// Compares responses of the same route, time and load. Whatever slows or fails
// both versions alike, for example a noisy neighbour or an overload, does not
// count as a difference.
[[nodiscard]] Comparison
compare(const VersionCounts &New, const VersionCounts &Old,
        std::uint64_t MinNewResponses = MinSlowResponses);

// Returns true if the new version fails significantly more often; the part of
// compare() that concerns failures.
[[nodiscard]] bool failsMore(const VersionCounts &New,
                             const VersionCounts &Old);

// Returns the first latency bucket that counts as slow compared with nearly all
// of these responses.
[[nodiscard]] std::size_t firstSlowBucket(const VersionCounts &Old);

// Returns a bad verdict that names the route and the counts, or no verdict for
// Similar.
[[nodiscard]] Verdict makeVerdict(Comparison Result, std::string_view Route,
                                  const VersionCounts &New,
                                  const VersionCounts &Old);

} // namespace magnolia::policy

#endif
