#include "policy/usage/count_runs.h"

#include <algorithm>
#include <utility>

namespace magnolia::policy {

namespace {

// Runs from before the first true time belong to no known window if they are
// older than this number of windows.
constexpr int MaxUnplacedWindows = 2;

std::uint64_t sumOf(const OrganisationCounts &Counts) {
  std::uint64_t Sum = 0;
  for (const auto &[Name, Count] : Counts) {
    Sum += Count;
  }
  return Sum;
}

UsageWindow currentWindow(const RunCounts &State, TimePoint Now,
                          const UsageOptions &Options) {
  return std::max(windowOf(Now + *State.Offset, Options.Window),
                  State.Closed + 1);
}

void decrement(OrganisationCounts &Counts, std::string_view Organisation) {
  const auto Found = Counts.find(Organisation);
  if (Found != Counts.end() && Found->second > 0) {
    --Found->second;
  }
}

void dropOldWindows(RunCounts &State) {
  while (State.Windows.size() > MaxKeptWindows) {
    State.Dropped += sumOf(State.Windows.begin()->second);
    State.Windows.erase(State.Windows.begin());
  }
}

// Returns the progress of the collector. A node that is no collector any more
// gives up its place.
CollectorProgress &progressOf(RunCounts &State, NodeId Collector) {
  const auto Found = std::find_if(
      State.Collectors.begin(), State.Collectors.end(),
      [Collector](const auto &Next) { return Next.Node == Collector; });
  if (Found != State.Collectors.end()) {
    return *Found;
  }
  std::rotate(State.Collectors.begin(), State.Collectors.end() - 1,
              State.Collectors.end());
  State.Collectors.front() = {.Node = Collector};
  return State.Collectors.front();
}

} // namespace

std::optional<UsageWindow> countRun(RunCounts &State,
                                    std::string_view Organisation,
                                    TimePoint Now,
                                    const UsageOptions &Options) {
  if (Organisation.empty()) {
    return std::nullopt;
  }
  if (!State.Offset && State.Unplaced.empty()) {
    State.UnplacedSince = Now;
  }
  const auto Window = State.Offset
                          ? std::optional(currentWindow(State, Now, Options))
                          : std::nullopt;
  OrganisationCounts &Counts = Window ? State.Windows[*Window] : State.Unplaced;
  const auto Found = Counts.find(Organisation);
  if (Found != Counts.end()) {
    ++Found->second;
  } else if (Counts.size() < MaxUsageOrganisations) {
    Counts.emplace(Organisation, 1);
  } else {
    ++State.Dropped;
  }
  dropOldWindows(State);
  return Window;
}

void uncountRun(RunCounts &State, std::string_view Organisation,
                std::optional<UsageWindow> Window) {
  if (!Window) {
    // Once the true time is known, the run has moved to a window.
    if (!State.Offset) {
      decrement(State.Unplaced, Organisation);
    }
    return;
  }
  const auto Counts = State.Windows.find(*Window);
  if (*Window > State.Closed && Counts != State.Windows.end()) {
    decrement(Counts->second, Organisation);
  }
}

void setTrueTime(RunCounts &State, TimePoint True, TimePoint Now,
                 const UsageOptions &Options) {
  const bool First = !State.Offset;
  State.Offset = True - Now;
  const UsageWindow Current = windowOf(True, Options.Window);
  // A clock that was far ahead must not hold back the windows for long.
  if (Current + 1 < State.Closed) {
    State.Closed = Current == 0 ? 0 : Current - 1;
    State.Windows.erase(State.Windows.upper_bound(Current),
                        State.Windows.end());
    State.Collectors = {};
  }
  if (!First) {
    return;
  }
  State.Closed = std::max<UsageWindow>(Current, 1) - 1;
  if (Now - State.UnplacedSince <= MaxUnplacedWindows * Options.Window) {
    State.Dropped += addCounts(State.Windows[Current], State.Unplaced);
  } else {
    State.Dropped += sumOf(State.Unplaced);
  }
  State.Unplaced.clear();
}

UsageMessage messageFor(RunCounts &State, NodeId Collector, TimePoint Now,
                        const UsageOptions &Options) {
  UsageMessage Message{.Sequence = ++State.Sequence};
  const CollectorProgress &Progress = progressOf(State, Collector);
  if (!State.Offset) {
    return Message;
  }
  State.Closed = std::max(State.Closed, currentWindow(State, Now, Options) - 1);
  Message.Closed = State.Closed;
  for (auto Next = State.Windows.upper_bound(Progress.Has);
       Next != State.Windows.end(); ++Next) {
    Message.Windows.push_back({.Window = Next->first, .Counts = Next->second});
  }
  return Message;
}

void onCollected(RunCounts &State, NodeId Collector, Incarnation Run,
                 UsageWindow Closed) {
  const auto Found = std::find_if(
      State.Collectors.begin(), State.Collectors.end(),
      [Collector](const auto &Next) { return Next.Node == Collector; });
  if (Found == State.Collectors.end()) {
    return;
  }
  // A message that left out what a former incarnation had is not enough for
  // this one.
  const bool Restarted = Found->Run != 0 && Found->Run != Run;
  Found->Run = Run;
  Found->Has = Restarted ? 0 : std::max(Found->Has, Closed);
}

void onNewIncarnation(RunCounts &State) {
  State.Windows.clear();
  State.Collectors = {};
}

} // namespace magnolia::policy
