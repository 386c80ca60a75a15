#include "policy/rollout/internal/evaluate_routes.h"
#include "policy/rollout/compare_versions.h"
#include "policy/rollout/internal/ring.h"

#include <algorithm>
#include <chrono>

namespace magnolia::policy::internal {

namespace {

// Bursts of noise on one instance are shorter than this.
constexpr Duration MinSlowSpan = std::chrono::milliseconds{500};
// More responses than for a single route are needed, as a random mix of fast
// and slow routes can look like a difference.
constexpr std::uint64_t MinCombinedResponses = 4;
constexpr std::uint64_t FewResponses = 10;
// Responses of the old version that a slow verdict needs. At the highest share
// a node has few of them, and they may miss a burst of noise by chance; the
// drivers have the responses of all nodes.
constexpr std::uint64_t MinOldResponsesForSlow = 30;
constexpr std::uint64_t MinMajorityFailures = 3;

// Sums the recent windows, or the whole ring if the recent ones hold too few
// responses.
ResponsePair sumRecentOrAll(const ResponseRing &Ring, std::uint64_t Number,
                            std::uint64_t MinResponses) {
  const ResponsePair Recent =
      pairedSum(Ring, Number, ResponseRing::RecentCount);
  return Recent.New.Requests >= MinResponses
             ? Recent
             : pairedSum(Ring, Number, ResponseRing::WindowCount);
}

// Every has all responses, also those that Ring leaves out because the new
// version had none at the same time.
Verdict evaluate(const ResponseRing &Ring, const ResponseRing &Every,
                 std::string_view Route, std::uint64_t MinResponses,
                 TimePoint Now) {
  const std::uint64_t Number = windowNumber(Now);
  const ResponsePair Pair = sumRecentOrAll(Ring, Number, MinResponses);
  if (Pair.New.Failures >= MinMajorityFailures &&
      Pair.New.Failures * 2 > Pair.New.Requests && Pair.Old.Failures == 0) {
    // The new version mostly fails while the old one had no failure at the same
    // time. All responses of the old version may then be used, so that fewer
    // failures suffice for a verdict.
    const VersionCounts Old = oldSum(Every, Number);
    if (failsMore(Pair.New, Old)) {
      return makeVerdict(Comparison::Fails, Route, Pair.New, Old);
    }
  }
  const Comparison Result = compare(Pair.New, Pair.Old, MinResponses);
  if (Result == Comparison::Slows) {
    const WindowRange Slow =
        slowWindows(Ring, Number, firstSlowBucket(Pair.Old));
    if (spanOf(Slow) < MinSlowSpan ||
        Pair.Old.Requests < MinOldResponsesForSlow) {
      return {};
    }
  }
  return makeVerdict(Result, Route, Pair.New, Pair.Old);
}

} // namespace

Verdict evaluateRoute(const ResponseRing &Ring, std::string_view Route,
                      TimePoint Now) {
  return evaluate(Ring, Ring, Route, MinSlowResponses, Now);
}

bool hasFewResponses(const ResponseRing &Ring, TimePoint Now) {
  const ResponsePair Pair =
      pairedSum(Ring, windowNumber(Now), ResponseRing::RecentCount);
  return std::min(Pair.New.Requests, Pair.Old.Requests) < FewResponses;
}

Verdict evaluateAllRoutes(const CombinedRing &All, TimePoint Now) {
  return evaluate(All.Paired, All.Every, "(all)", MinCombinedResponses, Now);
}

} // namespace magnolia::policy::internal
