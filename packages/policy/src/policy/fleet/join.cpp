#include "policy/fleet/join.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

// Returns true if the time has come, and then advances it by the period.
bool advanceIfDue(TimePoint &Next, Duration Period, TimePoint Now) {
  if (Now < Next) {
    return false;
  }
  Next = Now + Period;
  return true;
}

bool hasSettled(const JoinState &State, TimePoint Now) {
  return Now >= State.AloneUntil ||
         (State.JoinedAt && Now >= *State.JoinedAt + State.Options.SettleTime);
}

} // namespace

JoinState makeJoin(TimePoint Now, RandomEngine &Random,
                   const JoinOptions &Options) {
  std::uniform_int_distribution<Duration::rep> Jitter(0,
                                                      Options.Jitter.count());
  const Duration Delay(Jitter(Random));
  return {.Options = Options,
          .AloneUntil = Now + Options.AloneTime + Delay,
          .NextContactRead = Now + Options.SettleTime + Delay};
}

void onMembers(JoinState &State, std::size_t Known, TimePoint Now) {
  if (Known > 1 && !State.JoinedAt) {
    State.JoinedAt = Now;
  } else if (Known <= 1) {
    State.JoinedAt.reset();
  }
}

bool takeContactRead(JoinState &State, TimePoint Now) {
  return !State.JoinedAt && advanceIfDue(State.NextContactRead,
                                         State.Options.ContactReadPeriod, Now);
}

bool updateWatch(JoinState &State, bool IsWatcher, TimePoint Now) {
  const bool Watch = IsWatcher && hasSettled(State, Now);
  if (Watch == State.Watching) {
    return false;
  }
  State.Watching = Watch;
  State.NextContactWrite = Now;
  return true;
}

bool takeContactWrite(JoinState &State, TimePoint Now) {
  return State.Watching && advanceIfDue(State.NextContactWrite,
                                        State.Options.ContactWritePeriod, Now);
}

std::uint32_t contactSlot(const Member &Self,
                          std::span<const Member> Watchers) {
  return static_cast<std::uint32_t>(
      std::count_if(Watchers.begin(), Watchers.end(), [&](const Member &Other) {
        return Other.Zone == Self.Zone && Other.Node < Self.Node;
      }));
}

Duration storeBackoff(int Failures, RandomEngine &Random,
                      const JoinOptions &Options) {
  constexpr int MaxDoublings = 16;
  const int Doublings = std::clamp(Failures - 1, 0, MaxDoublings);
  const Duration Longest =
      std::min(Options.LongestBackoff, Options.FirstBackoff * (1 << Doublings));
  std::uniform_int_distribution<Duration::rep> Pause(Longest.count() / 2,
                                                     Longest.count());
  return Duration(Pause(Random));
}

} // namespace magnolia::policy
