#ifndef POLICY_ROLLOUT_INTERNAL_RING_H
#define POLICY_ROLLOUT_INTERNAL_RING_H

#include "policy/core/types.h"
#include "policy/rollout/combined_ring.h"
#include "policy/rollout/response_pair.h"
#include "policy/rollout/response_ring.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::policy::internal {

[[nodiscard]] std::uint64_t windowNumber(TimePoint Now);

// Returns the window with this number, cleared if its slot held an older one,
// or null if the ring no longer covers the number.
[[nodiscard]] ResponseRing::Window *windowAt(ResponseRing &Ring,
                                             std::uint64_t Number);

// Adds responses on one route to the window with this number, of the route and
// of all routes. Rings that no longer cover the number stay as they are.
void addToRings(ResponseRing &Route, CombinedRing &All, std::uint64_t Number,
                const ResponsePair &Added);

// Sums the last windows up to the number, leaving out those without responses
// of the new version. Its share changes, and noise during windows in which it
// received few or no requests would otherwise look like a difference between
// the versions.
[[nodiscard]] ResponsePair pairedSum(const ResponseRing &Ring,
                                     std::uint64_t Number, std::size_t Windows);

// Returns all responses of the old version in the ring.
[[nodiscard]] VersionCounts oldSum(const ResponseRing &Ring,
                                   std::uint64_t Number);

// Returns the number of requests of both versions in the recent windows.
[[nodiscard]] std::uint64_t recentRequests(const ResponseRing &Ring,
                                           std::uint64_t Number);

// Numbers of the first and last window; the range is empty if First is above
// Last.
struct WindowRange {
  std::uint64_t First = ~std::uint64_t{0};
  std::uint64_t Last = 0;
};

// Returns the first and last window in which the new version had responses in
// the latency bucket FirstSlow or above.
[[nodiscard]] WindowRange slowWindows(const ResponseRing &Ring,
                                      std::uint64_t Number,
                                      std::size_t FirstSlow);

[[nodiscard]] Duration spanOf(const WindowRange &Range);

} // namespace magnolia::policy::internal

#endif
