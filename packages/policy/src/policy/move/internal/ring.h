#ifndef POLICY_MOVE_INTERNAL_RING_H
#define POLICY_MOVE_INTERNAL_RING_H

#include "policy/core/types.h"
#include "policy/move/answer_pair.h"
#include "policy/move/answer_ring.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::policy::internal {

[[nodiscard]] std::uint64_t windowNumber(TimePoint Now);

// Window of the number, cleared where it held an older one; null for a number
// that the ring has already left behind.
[[nodiscard]] AnswerRing::Window *windowAt(AnswerRing &Ring,
                                           std::uint64_t Number);

// Sums over the last windows up to the number in which the new version had
// answers. Its share changes, and a spell of noise in which it got little or no
// work would be taken for a difference of the versions.
[[nodiscard]] AnswerPair pairedSum(const AnswerRing &Ring, std::uint64_t Number,
                                   std::size_t Windows);

// All answers of the old version in the ring.
[[nodiscard]] VersionCounts oldSum(const AnswerRing &Ring,
                                   std::uint64_t Number);

// Requests of both versions in the recent windows.
[[nodiscard]] std::uint64_t recentRequests(const AnswerRing &Ring,
                                           std::uint64_t Number);

// First and last of some windows; empty where First is above Last.
struct WindowRange {
  std::uint64_t First = ~std::uint64_t{0};
  std::uint64_t Last = 0;
};

// Extends the range to the windows in which the new version had answers from
// the latency bucket on.
void addSlowWindows(WindowRange &Range, const AnswerRing &Ring,
                    std::uint64_t Number, std::size_t FirstSlow);

[[nodiscard]] Duration spanOf(const WindowRange &Range);

} // namespace magnolia::policy::internal

#endif
