#include "policy/move/brake.h"
#include "policy/move/internal/judge_routes.h"
#include "policy/move/internal/ring.h"
#include "policy/move/judge.h"

#include <algorithm>
#include <array>
#include <span>

namespace magnolia::policy {

namespace {

using RouteAnswers = LocalBrake::RouteAnswers;

RouteAnswers *routeOf(LocalBrake &Brake, std::string_view Route) {
  const auto Found = std::find_if(
      Brake.Routes.begin(), Brake.Routes.end(),
      [Route](const RouteAnswers &Item) { return Item.Route == Route; });
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

void count(RouteAnswers &Item, MoveSide Side, bool Failed, Duration Latency,
           TimePoint Now) {
  const bool IsNew = Side == MoveSide::New;
  // Counted when the request was sent. By the time of the answer, the slow
  // answers of a spell of noise would stand beside fast ones from after it.
  AnswerRing::Window *Window =
      internal::windowAt(Item.Ring, internal::windowNumber(Now - Latency));
  if (Window != nullptr) {
    addAnswer(IsNew ? Window->New : Window->Old, Failed, Latency);
  }
  addAnswer(IsNew ? Item.Step.New : Item.Step.Old, Failed, Latency);
  addAnswer(IsNew ? Item.Report.New : Item.Report.Old, Failed, Latency);
}

Verdict judge(const LocalBrake &Brake, const RouteAnswers &Item,
              TimePoint Now) {
  Verdict Result = internal::judgeRoute(Item.Ring, Item.Route, Now);
  // Only failures are judged by the whole step: a slow spell of the past says
  // nothing of now.
  if (Result.Kind == VerdictKind::None &&
      failsMore(Item.Step.New, Item.Step.Old)) {
    Result =
        verdictOf(Comparison::Fails, Item.Route, Item.Step.New, Item.Step.Old);
  }
  if (Result.Kind == VerdictKind::None &&
      internal::hasFewAnswers(Item.Ring, Now)) {
    std::array<const AnswerRing *, LocalBrake::MaxRoutes> Rings{};
    std::transform(Brake.Routes.begin(), Brake.Routes.end(), Rings.begin(),
                   [](const RouteAnswers &Each) { return &Each.Ring; });
    Result = internal::judgeTogether(
        std::span(Rings).first(Brake.Routes.size()), Now);
  }
  return Result;
}

// A failure that no verdict follows from yet stops the new version for a
// moment, unless the old one has failed lately as well.
void pauseAfterFailure(LocalBrake &Brake, const RouteAnswers &Item,
                       TimePoint Now) {
  const AnswerPair Recent = internal::pairedSum(
      Item.Ring, internal::windowNumber(Now), AnswerRing::RecentCount);
  // One failure among many answers is no sign of a bad version.
  constexpr std::uint64_t ManyAnswers = 50;
  if (Recent.Old.Failures > 0 || Recent.New.Requests >= ManyAnswers ||
      Now < Brake.TrialUntil) {
    return;
  }
  Brake.PausedUntil = Now + BrakePause;
  Brake.TrialUntil = Brake.PausedUntil + BrakeTrial;
  Brake.TrialRoute = static_cast<std::size_t>(&Item - Brake.Routes.data());
  Brake.TrialAnswers = 0;
  ++Brake.Pauses;
}

void followTrial(LocalBrake &Brake, const RouteAnswers &Item, TimePoint Now) {
  const auto Index = static_cast<std::size_t>(&Item - Brake.Routes.data());
  if (Now < Brake.PausedUntil || Now >= Brake.TrialUntil ||
      Index != Brake.TrialRoute) {
    return;
  }
  if (++Brake.TrialAnswers >= BrakeTrialAnswers) {
    Brake.TrialUntil = Now;
  }
}

// Share that brings the trial about within a fraction of a second.
double trialShare(const LocalBrake &Brake, TimePoint Now) {
  const std::uint64_t Requests = internal::recentRequests(
      Brake.Routes[Brake.TrialRoute].Ring, internal::windowNumber(Now));
  const double Seconds = std::chrono::duration<double>(AnswerRing::WindowTime *
                                                       AnswerRing::RecentCount)
                             .count();
  const double Rate = static_cast<double>(Requests) / Seconds;
  return std::min(BrakeTrialRate / std::max(Rate, 1.0), BrakeTrialShare);
}

} // namespace

void beginMove(LocalBrake &Brake, const MoveRecord &Record) {
  if (Brake.MoveId != Record.Id) {
    Brake = LocalBrake{};
    Brake.MoveId = Record.Id;
  }
  if (Brake.Step != Record.Step) {
    Brake.Step = Record.Step;
    for (RouteAnswers &Item : Brake.Routes) {
      Item.Step = {};
    }
  }
}

bool countAnswer(LocalBrake &Brake, std::string_view Route, MoveSide Side,
                 bool Failed, Duration Latency, TimePoint Now) {
  RouteAnswers *Item = routeOf(Brake, Route);
  if (Item == nullptr) {
    return false;
  }
  count(*Item, Side, Failed, Latency, Now);
  if (Side == MoveSide::Old || Brake.Held.Kind == VerdictKind::Bad) {
    return false;
  }
  Brake.Held = judge(Brake, *Item, Now);
  if (Brake.Held.Kind == VerdictKind::Bad) {
    return true;
  }
  if (Failed) {
    pauseAfterFailure(Brake, *Item, Now);
  } else {
    followTrial(Brake, *Item, Now);
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
  return Now < Brake.TrialUntil ? std::max(Share, trialShare(Brake, Now))
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
  for (RouteAnswers &Item : Brake.Routes) {
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
