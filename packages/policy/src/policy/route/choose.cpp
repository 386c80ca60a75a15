#include "policy/route/choose.h"

#include "policy/outlier/eject.h"
#include "policy/route/internal/health.h"
#include "policy/route/internal/score.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

struct Pick {
  Candidate *Best = nullptr;
  internal::Score Score;
  bool Trial = false;
};

std::uint64_t mix(std::uint64_t Value) {
  Value ^= Value >> 33;
  Value *= 0xFF51AFD7ED558CCDULL;
  Value ^= Value >> 33;
  Value *= 0xC4CEB9FE1A85EC53ULL;
  return Value ^ (Value >> 33);
}

// Value in [0, 1) from the upper bits.
double unitOf(std::uint64_t Bits) {
  constexpr int Shift = 11;
  return static_cast<double>(Bits >> Shift) * 0x1.0p-53;
}

std::uint32_t below(std::uint32_t Bound, RandomEngine &Random) {
  constexpr int Half = 32;
  return static_cast<std::uint32_t>(((Random() >> Half) * Bound) >> Half);
}

bool isExcluded(const RouteQuery &Query, NodeId Node) {
  return std::find(Query.Excluded.begin(), Query.Excluded.end(), Node) !=
         Query.Excluded.end();
}

// A request that isn't idempotent is a trial only where no idempotent one came
// for a whole back-off.
bool mayTry(const Candidate &Next, const RouteQuery &Query, TimePoint Now) {
  return Next.InFlight == 0 && isTrialDue(Next.Health, Now) &&
         (Query.Idempotent || Now >= Next.Health.Until + Next.Health.BackOff);
}

void consider(RouteState &State, std::uint32_t At, const RouteQuery &Query,
              TimePoint Now, Pick &Current) {
  Candidate &Next = State.Candidates[State.Active[At]];
  if (Current.Trial || Next.Report.Draining ||
      isExcluded(Query, Next.Spec.Node)) {
    return;
  }
  internal::examine(State, Next, Now);
  if (Next.Health.Phase != HealthPhase::Healthy) {
    if (mayTry(Next, Query, Now)) {
      Current = {.Best = &Next, .Score = {}, .Trial = true};
    }
    return;
  }
  const internal::Score Score = internal::score(State, Next, Now);
  const bool Better =
      Current.Best == nullptr ||
      (Score.Full == Current.Score.Full ? Score.Cost < Current.Score.Cost
                                        : Current.Score.Full);
  if (Better) {
    Current = {.Best = &Next, .Score = Score, .Trial = false};
  }
}

// Scores Count candidates of Active from First on.
void considerAll(RouteState &State, std::uint32_t First, std::uint32_t Count,
                 const RouteQuery &Query, TimePoint Now, RandomEngine &Random,
                 Pick &Current) {
  const std::uint32_t Start = below(Count, Random);
  for (std::uint32_t I = 0; I < Count; ++I) {
    consider(State, First + (Start + I) % Count, Query, Now, Current);
  }
}

// Draws at random until Samples are found of which one isn't full, or MaxDraws
// are used up.
void considerSome(RouteState &State, std::uint32_t First, std::uint32_t Count,
                  const RouteQuery &Query, TimePoint Now, RandomEngine &Random,
                  Pick &Current) {
  for (std::uint32_t Draw = 0; Draw < State.Options.MaxDraws; ++Draw) {
    const bool Enough = Draw >= State.Options.Samples &&
                        Current.Best != nullptr && !Current.Score.Full;
    if (Enough || Current.Trial) {
      return;
    }
    consider(State, First + below(Count, Random), Query, Now, Current);
  }
}

// Scores all of few candidates. Of many it draws some, and the own zone is
// looked at first: a few draws from all zones often miss every server of it.
Pick pickLeast(RouteState &State, const VersionGroup &Group,
               const RouteQuery &Query, TimePoint Now, RandomEngine &Random) {
  Pick Current;
  if (Group.Count <= State.Options.ScanAtMost) {
    considerAll(State, Group.First, Group.Count, Query, Now, Random, Current);
    return Current;
  }
  if (Group.Near > State.Options.ScanAtMost) {
    considerSome(State, Group.First, Group.Near, Query, Now, Random, Current);
  } else if (Group.Near > 0) {
    considerAll(State, Group.First, Group.Near, Query, Now, Random, Current);
  }
  considerSome(State, Group.First, Group.Count, Query, Now, Random, Current);
  return Current;
}

Pick pickKeyed(RouteState &State, const VersionGroup &Group,
               const RouteQuery &Query) {
  Pick Current;
  std::uint64_t Highest = 0;
  for (std::uint32_t I = 0; I < Group.Count; ++I) {
    Candidate &Next = State.Candidates[State.Active[Group.First + I]];
    const bool Skip = Next.Report.Draining ||
                      (Query.Idempotent && isExcluded(Query, Next.Spec.Node));
    const std::uint64_t Rank = mix(Next.Spec.Node ^ mix(*Query.Key));
    if (!Skip && (Current.Best == nullptr || Rank > Highest)) {
      Current.Best = &Next;
      Highest = Rank;
    }
  }
  if (Current.Best != nullptr && isExcluded(Query, Current.Best->Spec.Node)) {
    return {};
  }
  return Current;
}

Pick pickIn(RouteState &State, const VersionGroup &Group,
            const RouteQuery &Query, TimePoint Now, RandomEngine &Random) {
  return Query.Key ? pickKeyed(State, Group, Query)
                   : pickLeast(State, Group, Query, Now, Random);
}

// Share of a version drawn at random, or by the key so that copies of a keyed
// request draw the same one.
const VersionShare *drawVersion(const RouteQuery &Query, RandomEngine &Random) {
  double Sum = 0;
  for (const VersionShare &Entry : Query.Versions) {
    Sum += std::max(0.0, Entry.Share);
  }
  double Point = Sum * unitOf(Query.Key ? mix(*Query.Key) : Random());
  const VersionShare *Last = nullptr;
  for (const VersionShare &Entry : Query.Versions) {
    if (Entry.Share <= 0) {
      continue;
    }
    Last = &Entry;
    Point -= Entry.Share;
    if (Point < 0) {
      break;
    }
  }
  return Last;
}

Pick pickVersion(RouteState &State, std::uint32_t Version,
                 const RouteQuery &Query, TimePoint Now, RandomEngine &Random) {
  for (const VersionGroup &Group : State.Groups) {
    if (Group.Version == Version) {
      return pickIn(State, Group, Query, Now, Random);
    }
  }
  return {};
}

Pick pickByShare(RouteState &State, const RouteQuery &Query, TimePoint Now,
                 RandomEngine &Random) {
  const VersionShare *Drawn = drawVersion(Query, Random);
  while (Drawn != nullptr) {
    const Pick Found = pickVersion(State, Drawn->Version, Query, Now, Random);
    if (Found.Best != nullptr) {
      return Found;
    }
    // The next larger share, so that no small share grows.
    const VersionShare *Larger = nullptr;
    for (const VersionShare &Entry : Query.Versions) {
      if (Entry.Share > Drawn->Share &&
          (Larger == nullptr || Entry.Share < Larger->Share)) {
        Larger = &Entry;
      }
    }
    Drawn = Larger;
  }
  return {};
}

void explain(RouteState &State, Error &LastError) {
  ++State.Counters.NoneEligible;
  bool AllOut = !State.Candidates.empty();
  bool AllLeaving = AllOut;
  for (const Candidate &Next : State.Candidates) {
    const bool Leaving = Next.Spec.Draining || Next.Report.Draining;
    AllOut &= Next.Spec.ZoneOut;
    AllLeaving &= Leaving || Next.Spec.ZoneOut;
  }
  if (AllOut) {
    LastError = {.Kind = ErrorKind::ZoneOut,
                 .Detail = "all zones of the service are out of service"};
  } else if (AllLeaving) {
    LastError = {.Kind = ErrorKind::Draining,
                 .Detail = "all backend servers of the service are leaving"};
  } else {
    LastError = {.Kind = ErrorKind::NoBackendServer,
                 .Detail = "no backend server of the service is eligible"};
  }
}

} // namespace

std::optional<NodeId> choose(RouteState &State, const RouteQuery &Query,
                             TimePoint Now, RandomEngine &Random,
                             Error &LastError) {
  Pick Found;
  if (!Query.Versions.empty()) {
    Found = pickByShare(State, Query, Now, Random);
  } else if (!State.Active.empty()) {
    const VersionGroup All{.Count =
                               static_cast<std::uint32_t>(State.Active.size())};
    Found = pickIn(State, State.Groups.size() == 1 ? State.Groups.front() : All,
                   Query, Now, Random);
  }
  if (Found.Best == nullptr) {
    explain(State, LastError);
    return std::nullopt;
  }
  ++State.Counters.Chosen;
  return Found.Best->Spec.Node;
}

std::vector<VersionShare> sharesForRetry(std::span<const VersionShare> Shares) {
  const auto Largest = std::max_element(
      Shares.begin(), Shares.end(), [](const auto &Left, const auto &Right) {
        return Left.Share < Right.Share;
      });
  if (Largest == Shares.end()) {
    return {};
  }
  return {{.Version = Largest->Version, .Share = 1}};
}

bool hasChoice(const RouteState &State, const RouteQuery &Query,
               NodeId Chosen) {
  return std::any_of(
      State.Active.begin(), State.Active.end(), [&](std::uint32_t At) {
        const Candidate &Next = State.Candidates[At];
        const bool Served =
            Query.Versions.empty() ||
            std::any_of(Query.Versions.begin(), Query.Versions.end(),
                        [&Next](const VersionShare &Entry) {
                          return Entry.Version == Next.Spec.Version &&
                                 Entry.Share > 0;
                        });
        return Next.Spec.Node != Chosen && Served && !Next.Report.Draining &&
               Next.Health.Phase == HealthPhase::Healthy &&
               !isExcluded(Query, Next.Spec.Node);
      });
}

} // namespace magnolia::policy
