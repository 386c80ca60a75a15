#include "policy/rollout/internal/ring.h"

#include <algorithm>

namespace magnolia::policy::internal {

namespace {

bool isWithin(const ResponseRing::Window &Slot, std::uint64_t Number,
              std::size_t Windows) {
  return Slot.Number != 0 && Slot.Number <= Number &&
         Number - Slot.Number < Windows;
}

void add(ResponseRing::Window &Window, const ResponsePair &Added) {
  addCounts(Window.New, Added.New);
  addCounts(Window.Old, Added.Old);
}

} // namespace

std::uint64_t windowNumber(TimePoint Now) {
  return static_cast<std::uint64_t>(Now.time_since_epoch() /
                                    ResponseRing::WindowTime) +
         1;
}

ResponseRing::Window *windowAt(ResponseRing &Ring, std::uint64_t Number) {
  ResponseRing::Window &Found = Ring.Windows[Number % Ring.Windows.size()];
  if (Found.Number > Number) {
    return nullptr;
  }
  if (Found.Number != Number) {
    Found = ResponseRing::Window{};
    Found.Number = Number;
  }
  return &Found;
}

void addToRings(ResponseRing &Route, CombinedRing &All, std::uint64_t Number,
                const ResponsePair &Added) {
  ResponsePair Paired;
  if (ResponseRing::Window *Window = windowAt(Route, Number)) {
    const bool WasPaired = Window->New.Requests > 0;
    add(*Window, Added);
    if (Window->New.Requests > 0) {
      Paired = {.New = Added.New, .Old = WasPaired ? Added.Old : Window->Old};
    }
  }
  if (ResponseRing::Window *Window = windowAt(All.Paired, Number)) {
    add(*Window, Paired);
  }
  if (ResponseRing::Window *Window = windowAt(All.Every, Number)) {
    add(*Window, Added);
  }
}

ResponsePair pairedSum(const ResponseRing &Ring, std::uint64_t Number,
                       std::size_t Windows) {
  ResponsePair Total;
  for (const ResponseRing::Window &Slot : Ring.Windows) {
    if (Slot.New.Requests > 0 && isWithin(Slot, Number, Windows)) {
      addCounts(Total.New, Slot.New);
      addCounts(Total.Old, Slot.Old);
    }
  }
  return Total;
}

VersionCounts oldSum(const ResponseRing &Ring, std::uint64_t Number) {
  VersionCounts Total;
  for (const ResponseRing::Window &Slot : Ring.Windows) {
    if (isWithin(Slot, Number, ResponseRing::WindowCount)) {
      addCounts(Total, Slot.Old);
    }
  }
  return Total;
}

std::uint64_t recentRequests(const ResponseRing &Ring, std::uint64_t Number) {
  std::uint64_t Requests = 0;
  for (const ResponseRing::Window &Slot : Ring.Windows) {
    if (isWithin(Slot, Number, ResponseRing::RecentCount)) {
      Requests += Slot.New.Requests + Slot.Old.Requests;
    }
  }
  return Requests;
}

WindowRange slowWindows(const ResponseRing &Ring, std::uint64_t Number,
                        std::size_t FirstSlow) {
  WindowRange Range;
  for (const ResponseRing::Window &Slot : Ring.Windows) {
    const bool HasSlow = std::any_of(
        Slot.New.Latency.begin() + static_cast<std::ptrdiff_t>(FirstSlow),
        Slot.New.Latency.end(), [](auto Count) { return Count > 0; });
    if (HasSlow && isWithin(Slot, Number, ResponseRing::WindowCount)) {
      Range.First = std::min(Range.First, Slot.Number);
      Range.Last = std::max(Range.Last, Slot.Number);
    }
  }
  return Range;
}

Duration spanOf(const WindowRange &Range) {
  return Range.First > Range.Last
             ? Duration::zero()
             : ResponseRing::WindowTime *
                   static_cast<std::int64_t>(Range.Last - Range.First);
}

} // namespace magnolia::policy::internal
