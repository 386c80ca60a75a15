#include "policy/move/internal/judge_routes.h"
#include "policy/move/internal/ring.h"
#include "policy/move/judge.h"

#include <algorithm>
#include <chrono>

namespace magnolia::policy::internal {

namespace {

// A burst of noise on one instance is shorter than this.
constexpr Duration LeastSlowSpan = std::chrono::milliseconds{500};
// A chance mix of fast and slow routes calls for more answers than one route.
constexpr std::uint64_t MinTogether = 4;
constexpr std::uint64_t FewAnswers = 10;
// Answers of the old version to call the new one slow by. At the highest share
// a node has few, and a spell of noise may miss them by chance; the drivers
// have those of all nodes.
constexpr std::uint64_t MinOldForSlow = 30;
constexpr std::uint64_t MinMostFailures = 3;

// The recent windows, or the whole ring where these hold too few answers.
AnswerPair enough(std::span<const AnswerRing *const> Rings,
                  std::uint64_t Number, std::uint64_t Least) {
  AnswerPair Total;
  for (const std::size_t Windows :
       {AnswerRing::RecentCount, AnswerRing::WindowCount}) {
    Total = {};
    for (const AnswerRing *Ring : Rings) {
      const AnswerPair Pair = pairedSum(*Ring, Number, Windows);
      addCounts(Total.New, Pair.New);
      addCounts(Total.Old, Pair.Old);
    }
    if (Total.New.Requests >= Least) {
      break;
    }
  }
  return Total;
}

Verdict judge(std::span<const AnswerRing *const> Rings, std::string_view Route,
              std::uint64_t Least, TimePoint Now) {
  const std::uint64_t Number = windowNumber(Now);
  const AnswerPair Pair = enough(Rings, Number, Least);
  if (Pair.New.Failures >= MinMostFailures &&
      Pair.New.Failures * 2 > Pair.New.Requests && Pair.Old.Failures == 0) {
    // The new version mostly fails, and the old one had no failure at the same
    // time: all its answers may be compared with, which takes less of them.
    VersionCounts Old;
    for (const AnswerRing *Ring : Rings) {
      addCounts(Old, oldSum(*Ring, Number));
    }
    if (failsMore(Pair.New, Old)) {
      return verdictOf(Comparison::Fails, Route, Pair.New, Old);
    }
  }
  const Comparison Result = compare(Pair.New, Pair.Old, Least);
  if (Result == Comparison::Slows) {
    WindowRange Slow;
    for (const AnswerRing *Ring : Rings) {
      addSlowWindows(Slow, *Ring, Number, firstSlowBucket(Pair.Old));
    }
    if (spanOf(Slow) < LeastSlowSpan || Pair.Old.Requests < MinOldForSlow) {
      return {};
    }
  }
  return verdictOf(Result, Route, Pair.New, Pair.Old);
}

} // namespace

Verdict judgeRoute(const AnswerRing &Ring, std::string_view Route,
                   TimePoint Now) {
  const AnswerRing *const Rings[] = {&Ring};
  return judge(Rings, Route, MinSlowAnswers, Now);
}

bool hasFewAnswers(const AnswerRing &Ring, TimePoint Now) {
  const AnswerPair Pair =
      pairedSum(Ring, windowNumber(Now), AnswerRing::RecentCount);
  return std::min(Pair.New.Requests, Pair.Old.Requests) < FewAnswers;
}

Verdict judgeTogether(std::span<const AnswerRing *const> Rings, TimePoint Now) {
  return judge(Rings, "(all)", MinTogether, Now);
}

} // namespace magnolia::policy::internal
