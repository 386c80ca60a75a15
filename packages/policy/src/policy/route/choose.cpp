#include "policy/route/choose.h"

#include "policy/outlier/eject.h"
#include "policy/route/internal/health.h"
#include "policy/route/internal/score.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

// Whether a candidate can take the request, best first. A rejection by a full
// server costs a round trip, a failed connection the whole connect timeout.
enum class Room : std::uint8_t { Free, LinkBusy, Full, ConnectFailed };

// Rules by which a candidate with a free slot counts as full.
struct FullRules {
  bool LinkUse = false;
  bool ConnectFailures = false;
  // Random bits for the rule on the use of the link. They are drawn once, since
  // a candidate may be looked at several times for one request.
  std::uint64_t RandomBits = 0;
};

struct Pick {
  Candidate *Best = nullptr;
  double Cost = 0;
  Room Availability = Room::Free;
  bool Trial = false;
  // True if a candidate counted as full by the rule on the use of its link or
  // on failed connections.
  bool SawLinkBusy = false;
  bool SawConnectFailed = false;
};

std::uint64_t mixBits(std::uint64_t Value) {
  Value ^= Value >> 33;
  Value *= 0xFF51AFD7ED558CCDULL;
  Value ^= Value >> 33;
  Value *= 0xC4CEB9FE1A85EC53ULL;
  return Value ^ (Value >> 33);
}

// Maps the upper 53 bits to [0, 1).
double toUnitInterval(std::uint64_t Bits) {
  constexpr int Shift = 11;
  return static_cast<double>(Bits >> Shift) * 0x1.0p-53;
}

std::uint32_t randomBelow(std::uint32_t Bound, RandomEngine &Random) {
  constexpr int Half = 32;
  return static_cast<std::uint32_t>(((Random() >> Half) * Bound) >> Half);
}

bool isExcluded(const RouteQuery &Query, NodeId Node) {
  return std::find(Query.Excluded.begin(), Query.Excluded.end(), Node) !=
         Query.Excluded.end();
}

// Idempotent requests are preferred as trial requests: another request is used
// only if the trial has been due for a whole back-off.
bool isTrialAllowed(const Candidate &Server, const RouteQuery &Query,
                    TimePoint Now) {
  return Server.InFlight == 0 && isTrialDue(Server.Health, Now) &&
         (Query.Idempotent ||
          Now >= Server.Health.NextTrialAt + Server.Health.BackOff);
}

bool isLinkBusy(const RouteState &State, const Candidate &Server,
                std::uint64_t Draw, TimePoint Now) {
  const double Share = internal::linkBusyShare(State, Server, Now);
  return Share > 0 &&
         toUnitInterval(mixBits(Draw ^ mixBits(Server.Spec.Node))) < Share;
}

Room roomOf(const RouteState &State, const Candidate &Server, bool Full,
            const FullRules &Applied, TimePoint Now) {
  if (Applied.ConnectFailures &&
      internal::hasConnectFailed(State, Server, Now)) {
    return Room::ConnectFailed;
  }
  if (Full) {
    return Room::Full;
  }
  return Applied.LinkUse && isLinkBusy(State, Server, Applied.RandomBits, Now)
             ? Room::LinkBusy
             : Room::Free;
}

void evaluate(RouteState &State, std::uint32_t Position,
              const RouteQuery &Query, const FullRules &Applied, TimePoint Now,
              Pick &Current) {
  Candidate &Server = State.Candidates[State.Active[Position]];
  if (Current.Trial || Server.Report.Draining ||
      isExcluded(Query, Server.Spec.Node)) {
    return;
  }
  internal::ejectIfOutlier(State, Server, Now);
  if (Server.Health.Phase != HealthPhase::Healthy) {
    if (isTrialAllowed(Server, Query, Now)) {
      Current.Best = &Server;
      Current.Availability = Room::Free;
      Current.Trial = true;
    }
    return;
  }
  const internal::Score Score = internal::score(State, Server, Now);
  const Room Availability = roomOf(State, Server, Score.Full, Applied, Now);
  Current.SawLinkBusy |= Availability == Room::LinkBusy;
  Current.SawConnectFailed |= Availability == Room::ConnectFailed;
  const bool Better =
      Current.Best == nullptr || (Availability == Current.Availability
                                      ? Score.Cost < Current.Cost
                                      : Availability < Current.Availability);
  if (Better) {
    Current.Best = &Server;
    Current.Cost = Score.Cost;
    Current.Availability = Availability;
  }
}

// Scores Count candidates of Active, beginning at First.
void evaluateAll(RouteState &State, std::uint32_t First, std::uint32_t Count,
                 const RouteQuery &Query, const FullRules &Applied,
                 TimePoint Now, RandomEngine &Random, Pick &Current) {
  const std::uint32_t Start = randomBelow(Count, Random);
  for (std::uint32_t I = 0; I < Count; ++I) {
    evaluate(State, First + (Start + I) % Count, Query, Applied, Now, Current);
  }
}

// Draws candidates at random until at least Samples were drawn and one with a
// free slot was found, or until MaxDraws is reached.
void evaluateSamples(RouteState &State, std::uint32_t First,
                     std::uint32_t Count, const RouteQuery &Query,
                     const FullRules &Applied, TimePoint Now,
                     RandomEngine &Random, Pick &Current) {
  for (std::uint32_t Draw = 0; Draw < State.Options.MaxDraws; ++Draw) {
    const bool Enough = Draw >= State.Options.Samples &&
                        Current.Best != nullptr &&
                        Current.Availability == Room::Free;
    if (Enough || Current.Trial) {
      return;
    }
    evaluate(State, First + randomBelow(Count, Random), Query, Applied, Now,
             Current);
  }
}

// Scores all candidates of a small group and random samples of a large one. The
// local zone comes first, since a few draws from all zones often miss all of
// its servers.
Pick pickByRules(RouteState &State, const VersionGroup &Group,
                 const RouteQuery &Query, const FullRules &Applied,
                 TimePoint Now, RandomEngine &Random) {
  Pick Current;
  if (Group.Count <= State.Options.MaxFullScan) {
    evaluateAll(State, Group.First, Group.Count, Query, Applied, Now, Random,
                Current);
    return Current;
  }
  if (Group.LocalCount > State.Options.MaxFullScan) {
    evaluateSamples(State, Group.First, Group.LocalCount, Query, Applied, Now,
                    Random, Current);
  } else if (Group.LocalCount > 0) {
    evaluateAll(State, Group.First, Group.LocalCount, Query, Applied, Now,
                Random, Current);
  }
  evaluateSamples(State, Group.First, Group.Count, Query, Applied, Now, Random,
                  Current);
  return Current;
}

// A rule is dropped if the best candidate found is one that it excludes. A
// candidate without a free slot is preferred to one that could not be reached.
Pick pickLowestCost(RouteState &State, const VersionGroup &Group,
                    const RouteQuery &Query, TimePoint Now,
                    RandomEngine &Random) {
  FullRules Applied{.LinkUse = Query.WorkloadAware && Query.LargeBody,
                    .ConnectFailures = Query.WorkloadAware};
  if (Applied.LinkUse) {
    Applied.RandomBits = Random();
  }
  Pick Found = pickByRules(State, Group, Query, Applied, Now, Random);
  const bool SawConnectFailed = Found.SawConnectFailed;
  bool SawLinkBusy = Found.SawLinkBusy;
  if (Found.Availability == Room::ConnectFailed) {
    Applied.ConnectFailures = false;
    Found = pickByRules(State, Group, Query, Applied, Now, Random);
    SawLinkBusy |= Found.SawLinkBusy;
  }
  if (Found.Availability == Room::LinkBusy) {
    Applied.LinkUse = false;
    Found = pickByRules(State, Group, Query, Applied, Now, Random);
  }
  State.Counters.LinkBusy += SawLinkBusy ? 1 : 0;
  State.Counters.ConnectFailed += SawConnectFailed ? 1 : 0;
  return Found;
}

Pick pickKeyed(RouteState &State, const VersionGroup &Group,
               const RouteQuery &Query) {
  Pick Current;
  std::uint64_t Highest = 0;
  for (std::uint32_t I = 0; I < Group.Count; ++I) {
    Candidate &Server = State.Candidates[State.Active[Group.First + I]];
    const bool IsSkipped =
        Server.Report.Draining ||
        (Query.Idempotent && isExcluded(Query, Server.Spec.Node));
    const std::uint64_t Rank = mixBits(Server.Spec.Node ^ mixBits(*Query.Key));
    if (!IsSkipped && (Current.Best == nullptr || Rank > Highest)) {
      Current.Best = &Server;
      Highest = Rank;
    }
  }
  if (Current.Best != nullptr && isExcluded(Query, Current.Best->Spec.Node)) {
    return {};
  }
  return Current;
}

Pick pickFromGroup(RouteState &State, const VersionGroup &Group,
                   const RouteQuery &Query, TimePoint Now,
                   RandomEngine &Random) {
  return Query.Key ? pickKeyed(State, Group, Query)
                   : pickLowestCost(State, Group, Query, Now, Random);
}

// Draws a version by its share, either at random or by the key, so that
// duplicates of a request with a key draw the same version.
const VersionShare *drawVersion(const RouteQuery &Query, RandomEngine &Random) {
  double Sum = 0;
  for (const VersionShare &Entry : Query.Versions) {
    Sum += std::max(0.0, Entry.Share);
  }
  double Remainder =
      Sum * toUnitInterval(Query.Key ? mixBits(*Query.Key) : Random());
  const VersionShare *Last = nullptr;
  for (const VersionShare &Entry : Query.Versions) {
    if (Entry.Share <= 0) {
      continue;
    }
    Last = &Entry;
    Remainder -= Entry.Share;
    if (Remainder < 0) {
      break;
    }
  }
  return Last;
}

Pick pickVersion(RouteState &State, std::uint32_t Version,
                 const RouteQuery &Query, TimePoint Now, RandomEngine &Random) {
  for (const VersionGroup &Group : State.Groups) {
    if (Group.Version == Version) {
      return pickFromGroup(State, Group, Query, Now, Random);
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
    // Continues with the next larger share, so that no small share grows.
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

void setNoneEligibleError(RouteState &State, Error &LastError) {
  ++State.Counters.NoneEligible;
  bool AllOut = !State.Candidates.empty();
  bool AllDraining = AllOut;
  for (const Candidate &Server : State.Candidates) {
    const bool IsDraining = Server.Spec.Draining || Server.Report.Draining;
    AllOut &= Server.Spec.ZoneOut;
    AllDraining &= IsDraining || Server.Spec.ZoneOut;
  }
  if (AllOut) {
    LastError = {.Kind = ErrorKind::ZoneOut,
                 .Detail = "all zones of the service are out of service"};
  } else if (AllDraining) {
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
    Found = pickFromGroup(State,
                          State.Groups.size() == 1 ? State.Groups.front() : All,
                          Query, Now, Random);
  }
  if (Found.Best == nullptr) {
    setNoneEligibleError(State, LastError);
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
      State.Active.begin(), State.Active.end(), [&](std::uint32_t Position) {
        const Candidate &Server = State.Candidates[Position];
        const bool HasShare =
            Query.Versions.empty() ||
            std::any_of(Query.Versions.begin(), Query.Versions.end(),
                        [&Server](const VersionShare &Entry) {
                          return Entry.Version == Server.Spec.Version &&
                                 Entry.Share > 0;
                        });
        return Server.Spec.Node != Chosen && HasShare &&
               !Server.Report.Draining &&
               Server.Health.Phase == HealthPhase::Healthy &&
               !isExcluded(Query, Server.Spec.Node);
      });
}

} // namespace magnolia::policy
