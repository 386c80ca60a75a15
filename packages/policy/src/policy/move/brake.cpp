#include "policy/move/brake.h"
#include "policy/move/internal/judge_routes.h"
#include "policy/move/internal/ring.h"
#include "policy/move/judge.h"

#include <algorithm>
#include <array>
#include <span>

namespace magnolia::policy {

namespace {

using RouteResponses = LocalBrake::RouteResponses;

RouteResponses *routeOf(LocalBrake &Brake, std::string_view Route) {
  const auto Found = std::find_if(
      Brake.Routes.begin(), Brake.Routes.end(),
      [Route](const RouteResponses &Item) { return Item.Route == Route; });
  if (Found != Brake.Routes.end()) {
    return &*Found;
  }
  if (Brake.Routes.size() >= LocalBrake::MaxRoutes) {
    ++Brake.OverLimit;
    return nullptr;
  }
  Brake.Routes.emplace_back().Route = Route;
  return &Brake.Routes.back();
}

void count(RouteResponses &Item, MoveSide Side, bool Failed, Duration Latency,
           TimePoint Now) {
  const bool IsNew = Side == MoveSide::New;
  // Counts the response in the window in which its request was sent. By the
  // time of the response, slow responses from a burst of noise would be counted
  // together with fast ones from after it.
  ResponseRing::Window *Window =
      internal::windowAt(Item.Ring, internal::windowNumber(Now - Latency));
  if (Window != nullptr) {
    addResponse(IsNew ? Window->New : Window->Old, Failed, Latency);
  }
  addResponse(IsNew ? Item.Step.New : Item.Step.Old, Failed, Latency);
  addResponse(IsNew ? Item.Report.New : Item.Report.Old, Failed, Latency);
}

Verdict evaluate(const LocalBrake &Brake, const RouteResponses &Item,
                 TimePoint Now) {
  Verdict Result = internal::evaluateRoute(Item.Ring, Item.Route, Now);
  // Only failures are evaluated over the whole step: a slow period in the past
  // does not describe the current state.
  if (Result.Kind == VerdictKind::None &&
      failsMore(Item.Step.New, Item.Step.Old)) {
    Result = makeVerdict(Comparison::Fails, Item.Route, Item.Step.New,
                         Item.Step.Old);
  }
  if (Result.Kind == VerdictKind::None &&
      internal::hasFewResponses(Item.Ring, Now)) {
    std::array<const ResponseRing *, LocalBrake::MaxRoutes> Rings{};
    std::transform(Brake.Routes.begin(), Brake.Routes.end(), Rings.begin(),
                   [](const RouteResponses &Each) { return &Each.Ring; });
    Result = internal::evaluateAllRoutes(
        std::span(Rings).first(Brake.Routes.size()), Now);
  }
  return Result;
}

// Stops requests to the new version for a moment after a failure that does not
// yet lead to a verdict, unless the old version has failed recently as well.
void openAfterFailure(LocalBrake &Brake, const RouteResponses &Item,
                      TimePoint Now) {
  const ResponsePair Recent = internal::pairedSum(
      Item.Ring, internal::windowNumber(Now), ResponseRing::RecentCount);
  // A single failure among many responses does not indicate a bad version.
  constexpr std::uint64_t ManyResponses = 50;
  if (Recent.Old.Failures > 0 || Recent.New.Requests >= ManyResponses ||
      Now < Brake.HalfOpenUntil) {
    return;
  }
  Brake.PausedUntil = Now + BrakePause;
  Brake.HalfOpenUntil = Brake.PausedUntil + BreakerHalfOpenTime;
  Brake.HalfOpenRoute = static_cast<std::size_t>(&Item - Brake.Routes.data());
  Brake.HalfOpenResponses = 0;
  ++Brake.Pauses;
}

void updateHalfOpen(LocalBrake &Brake, const RouteResponses &Item,
                    TimePoint Now) {
  const auto Index = static_cast<std::size_t>(&Item - Brake.Routes.data());
  if (Now < Brake.PausedUntil || Now >= Brake.HalfOpenUntil ||
      Index != Brake.HalfOpenRoute) {
    return;
  }
  if (++Brake.HalfOpenResponses >= BreakerHalfOpenResponses) {
    Brake.HalfOpenUntil = Now;
  }
}

// Returns the share with which the half-open period gets its responses within a
// fraction of a second.
double halfOpenShare(const LocalBrake &Brake, TimePoint Now) {
  const std::uint64_t Requests = internal::recentRequests(
      Brake.Routes[Brake.HalfOpenRoute].Ring, internal::windowNumber(Now));
  const double Seconds =
      std::chrono::duration<double>(ResponseRing::WindowTime *
                                    ResponseRing::RecentCount)
          .count();
  const double Rate = static_cast<double>(Requests) / Seconds;
  return std::min(BreakerHalfOpenRate / std::max(Rate, 1.0),
                  BreakerHalfOpenShare);
}

} // namespace

void beginMove(LocalBrake &Brake, const MoveRecord &Record) {
  if (Brake.MoveId != Record.Id) {
    Brake = LocalBrake{};
    Brake.MoveId = Record.Id;
  }
  if (Brake.Step != Record.Step) {
    Brake.Step = Record.Step;
    for (RouteResponses &Item : Brake.Routes) {
      Item.Step = {};
    }
  }
}

bool countAnswer(LocalBrake &Brake, std::string_view Route, MoveSide Side,
                 bool Failed, Duration Latency, TimePoint Now) {
  RouteResponses *Item = routeOf(Brake, Route);
  if (Item == nullptr) {
    return false;
  }
  count(*Item, Side, Failed, Latency, Now);
  if (Side == MoveSide::Old || Brake.Held.Kind == VerdictKind::Bad) {
    return false;
  }
  Brake.Held = evaluate(Brake, *Item, Now);
  if (Brake.Held.Kind == VerdictKind::Bad) {
    return true;
  }
  if (Failed) {
    openAfterFailure(Brake, *Item, Now);
  } else {
    updateHalfOpen(Brake, *Item, Now);
  }
  return false;
}

bool joinVerdict(LocalBrake &Brake, std::string_view MoveId,
                 const Verdict &Sent) {
  if (Brake.MoveId != MoveId || Brake.Held.Kind == VerdictKind::Bad) {
    return false;
  }
  Brake.Held = joinVerdict(Brake.Held, Sent);
  return Brake.Held.Kind == VerdictKind::Bad;
}

double effectiveShare(const MoveRecord &Record, const LocalBrake &Brake,
                      TimePoint Now) {
  switch (Record.Phase) {
  case MovePhase::Planned:
  case MovePhase::TakenBack:
    return 0.0;
  case MovePhase::Done:
    return 1.0;
  case MovePhase::Shifting:
    break;
  }
  if (Now >= Record.Deadline) {
    return 0.0;
  }
  const double Share = std::clamp(Record.Share, 0.0, 1.0);
  if (Brake.MoveId != Record.Id) {
    return Share;
  }
  if (Brake.Held.Kind == VerdictKind::Bad || Now < Brake.PausedUntil) {
    return 0.0;
  }
  return Now < Brake.HalfOpenUntil ? std::max(Share, halfOpenShare(Brake, Now))
                                   : Share;
}

EvidenceReport takeReport(LocalBrake &Brake, const MoveRecord &Record,
                          NodeId Self, Incarnation Run) {
  EvidenceReport Report = {.Node = Self,
                           .Run = Run,
                           .MoveId = Brake.MoveId,
                           .Window = Brake.NextReport++,
                           .Step = Record.Step,
                           .Routes = {}};
  for (RouteResponses &Item : Brake.Routes) {
    if (Item.Report.New.Requests + Item.Report.Old.Requests > 0) {
      Report.Routes.push_back({.Route = Item.Route,
                               .New = Item.Report.New,
                               .Old = Item.Report.Old});
      Item.Report = {};
    }
  }
  return Report;
}

} // namespace magnolia::policy
