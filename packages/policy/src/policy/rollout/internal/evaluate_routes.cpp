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
ResponsePair sumRecentOrAll(std::span<const ResponseRing *const> Rings,
                            std::uint64_t Number, std::uint64_t MinResponses) {
  ResponsePair Total;
  for (const std::size_t Windows :
       {ResponseRing::RecentCount, ResponseRing::WindowCount}) {
    Total = {};
    for (const ResponseRing *Ring : Rings) {
      const ResponsePair Pair = pairedSum(*Ring, Number, Windows);
      addCounts(Total.New, Pair.New);
      addCounts(Total.Old, Pair.Old);
    }
    if (Total.New.Requests >= MinResponses) {
      break;
    }
  }
  return Total;
}

Verdict evaluate(std::span<const ResponseRing *const> Rings,
                 std::string_view Route, std::uint64_t MinResponses,
                 TimePoint Now) {
  const std::uint64_t Number = windowNumber(Now);
  const ResponsePair Pair = sumRecentOrAll(Rings, Number, MinResponses);
  if (Pair.New.Failures >= MinMajorityFailures &&
      Pair.New.Failures * 2 > Pair.New.Requests && Pair.Old.Failures == 0) {
    // The new version mostly fails while the old one had no failure at the same
    // time. All responses of the old version may then be used, so that fewer
    // failures suffice for a verdict.
    VersionCounts Old;
    for (const ResponseRing *Ring : Rings) {
      addCounts(Old, oldSum(*Ring, Number));
    }
    if (failsMore(Pair.New, Old)) {
      return makeVerdict(Comparison::Fails, Route, Pair.New, Old);
    }
  }
  const Comparison Result = compare(Pair.New, Pair.Old, MinResponses);
  if (Result == Comparison::Slows) {
    WindowRange Slow;
    for (const ResponseRing *Ring : Rings) {
      addSlowWindows(Slow, *Ring, Number, firstSlowBucket(Pair.Old));
    }
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
  const ResponseRing *const Rings[] = {&Ring};
  return evaluate(Rings, Route, MinSlowResponses, Now);
}

bool hasFewResponses(const ResponseRing &Ring, TimePoint Now) {
  const ResponsePair Pair =
      pairedSum(Ring, windowNumber(Now), ResponseRing::RecentCount);
  return std::min(Pair.New.Requests, Pair.Old.Requests) < FewResponses;
}

Verdict evaluateAllRoutes(std::span<const ResponseRing *const> Rings,
                          TimePoint Now) {
  return evaluate(Rings, "(all)", MinCombinedResponses, Now);
}

} // namespace magnolia::policy::internal
