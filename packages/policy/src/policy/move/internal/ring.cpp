#include "policy/move/internal/ring.h"

#include <algorithm>

namespace magnolia::policy::internal {

namespace {

bool isWithin(const AnswerRing::Window &One, std::uint64_t Number,
              std::size_t Windows) {
  return One.Number != 0 && One.Number <= Number &&
         Number - One.Number < Windows;
}

} // namespace

std::uint64_t windowNumber(TimePoint Now) {
  return static_cast<std::uint64_t>(Now.time_since_epoch() /
                                    AnswerRing::WindowTime) +
         1;
}

AnswerRing::Window *windowAt(AnswerRing &Ring, std::uint64_t Number) {
  AnswerRing::Window &Found = Ring.Windows[Number % Ring.Windows.size()];
  if (Found.Number > Number) {
    return nullptr;
  }
  if (Found.Number != Number) {
    Found = AnswerRing::Window{};
    Found.Number = Number;
  }
  return &Found;
}

AnswerPair pairedSum(const AnswerRing &Ring, std::uint64_t Number,
                     std::size_t Windows) {
  AnswerPair Total;
  for (const AnswerRing::Window &One : Ring.Windows) {
    if (One.New.Requests > 0 && isWithin(One, Number, Windows)) {
      addCounts(Total.New, One.New);
      addCounts(Total.Old, One.Old);
    }
  }
  return Total;
}

VersionCounts oldSum(const AnswerRing &Ring, std::uint64_t Number) {
  VersionCounts Total;
  for (const AnswerRing::Window &One : Ring.Windows) {
    if (isWithin(One, Number, AnswerRing::WindowCount)) {
      addCounts(Total, One.Old);
    }
  }
  return Total;
}

std::uint64_t recentRequests(const AnswerRing &Ring, std::uint64_t Number) {
  std::uint64_t Requests = 0;
  for (const AnswerRing::Window &One : Ring.Windows) {
    if (isWithin(One, Number, AnswerRing::RecentCount)) {
      Requests += One.New.Requests + One.Old.Requests;
    }
  }
  return Requests;
}

void addSlowWindows(WindowRange &Range, const AnswerRing &Ring,
                    std::uint64_t Number, std::size_t FirstSlow) {
  for (const AnswerRing::Window &One : Ring.Windows) {
    const bool HasSlow = std::any_of(
        One.New.Latency.begin() + static_cast<std::ptrdiff_t>(FirstSlow),
        One.New.Latency.end(), [](auto Count) { return Count > 0; });
    if (HasSlow && isWithin(One, Number, AnswerRing::WindowCount)) {
      Range.First = std::min(Range.First, One.Number);
      Range.Last = std::max(Range.Last, One.Number);
    }
  }
}

Duration spanOf(const WindowRange &Range) {
  return Range.First > Range.Last
             ? Duration::zero()
             : AnswerRing::WindowTime *
                   static_cast<std::int64_t>(Range.Last - Range.First);
}

} // namespace magnolia::policy::internal
