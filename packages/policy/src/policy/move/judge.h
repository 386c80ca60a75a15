#ifndef POLICY_MOVE_JUDGE_H
#define POLICY_MOVE_JUDGE_H

#include "policy/move/verdict.h"
#include "policy/move/version_counts.h"

#include <cstdint>
#include <string_view>

namespace magnolia::policy {

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
                                 const VersionCounts &Old);

// Bad verdict that names the route and the counts; none for Alike.
[[nodiscard]] Verdict verdictOf(Comparison Result, std::string_view Route,
                                const VersionCounts &New,
                                const VersionCounts &Old);

} // namespace magnolia::policy

#endif
