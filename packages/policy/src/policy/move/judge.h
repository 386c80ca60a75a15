#ifndef POLICY_MOVE_JUDGE_H
#define POLICY_MOVE_JUDGE_H

#include "policy/move/verdict.h"
#include "policy/move/version_counts.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnolia::policy {

// Answers of the new version that it takes to call it slow.
inline constexpr std::uint64_t MinSlowAnswers = 3;

// How the new version compares with the old one on one route.
enum class Comparison : std::uint8_t {
  // No difference that chance does not explain.
  Alike,
  // Fails more often than the old version.
  Fails,
  // Most answers are slower than nearly all answers of the old version.
  Slows,
};

// Compares answers of the same route, time and load. What slows or fails both
// versions alike, for example a noisy neighbour or an overload, is no
// difference.
[[nodiscard]] Comparison compare(const VersionCounts &New,
                                 const VersionCounts &Old,
                                 std::uint64_t MinNewAnswers = MinSlowAnswers);

// The part of compare() that concerns failures.
[[nodiscard]] bool failsMore(const VersionCounts &New,
                             const VersionCounts &Old);

// First latency bucket that is slow compared with nearly all of these answers.
[[nodiscard]] std::size_t firstSlowBucket(const VersionCounts &Old);

// Bad verdict that names the route and the counts; none for Alike.
[[nodiscard]] Verdict verdictOf(Comparison Result, std::string_view Route,
                                const VersionCounts &New,
                                const VersionCounts &Old);

} // namespace magnolia::policy

#endif
