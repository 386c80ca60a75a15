#include "policy/move/brake.h"
#include "policy/move/judge.h"

#include <algorithm>
#include <limits>
#include <span>

namespace magnolia::policy {

namespace {

using Window = LocalBrake::Window;
using RouteWindows = LocalBrake::RouteWindows;

// Below this the old version is judged by all windows of the ring, because at
// a high share of the new version it gets few requests.
constexpr std::uint64_t FewOldRequests = 30;

std::uint64_t windowNumber(TimePoint Now) {
  // 0 marks a window that was never used.
  return static_cast<std::uint64_t>(Now.time_since_epoch() / BrakeWindow) + 1;
}

void addToWindow(std::span<Window> Ring, std::uint64_t Number, bool Failed,
                 Duration Latency) {
  constexpr auto Full = std::numeric_limits<std::uint16_t>::max();
  Window &Current = Ring[Number % Ring.size()];
  if (Current.Number > Number) {
    return;
  }
  if (Current.Number != Number) {
    Current = Window{.Number = Number};
  }
  if (Current.Requests == Full) {
    return;
  }
  ++Current.Requests;
  if (Failed) {
    ++Current.Failures;
  } else {
    ++Current.Latency[latencyBucket(Latency)];
  }
}

VersionCounts sum(std::span<const Window> Ring, std::uint64_t Number,
                  std::size_t Windows) {
  VersionCounts Total;
  for (const Window &One : Ring) {
    if (One.Number == 0 || One.Number > Number ||
        Number - One.Number >= Windows) {
      continue;
    }
    Total.Requests += One.Requests;
    Total.Failures += One.Failures;
    for (std::size_t I = 0; I < VersionCounts::BucketCount; ++I) {
      Total.Latency[I] += One.Latency[I];
    }
  }
  return Total;
}

RouteWindows *routeOf(LocalBrake &Brake, std::string_view Route) {
  const auto Found = std::find_if(
      Brake.Routes.begin(), Brake.Routes.end(),
      [Route](const RouteWindows &Item) { return Item.Route == Route; });
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

// What the counts of a route say now. Slowness counts after it has lasted.
Verdict judge(RouteWindows &Item, TimePoint Now) {
  const std::uint64_t Number = windowNumber(Now);
  const VersionCounts New = sum(Item.New, Number, BrakeJudgedWindows);
  VersionCounts Old = sum(Item.Old, Number, BrakeJudgedWindows);
  if (Old.Requests < FewOldRequests) {
    Old = sum(Item.Old, Number, LocalBrake::WindowCount);
  }
  const Comparison Result = compare(New, Old);
  if (Result != Comparison::Slows) {
    Item.SlowSince.reset();
    return verdictOf(Result, Item.Route, New, Old);
  }
  if (!Item.SlowSince) {
    Item.SlowSince = Now;
  }
  if (Now - *Item.SlowSince < BrakeSlowTime) {
    return {};
  }
  return verdictOf(Result, Item.Route, New, Old);
}

// A failure that no verdict follows from yet stops the new version for a
// moment, unless the old one has failed lately as well.
void pauseAfterFailure(LocalBrake &Brake, const RouteWindows &Item,
                       TimePoint Now) {
  const std::uint64_t Number = windowNumber(Now);
  const VersionCounts New = sum(Item.New, Number, BrakeJudgedWindows);
  const VersionCounts Old = sum(Item.Old, Number, LocalBrake::WindowCount);
  const bool OldFails = Old.Failures * New.Requests > 0;
  // One failure among many answers is no sign of a bad version.
  constexpr std::uint64_t ManyAnswers = 50;
  if (!OldFails && New.Requests < ManyAnswers && Now >= Brake.PausedUntil) {
    Brake.PausedUntil = Now + BrakePause;
    ++Brake.Pauses;
  }
}

} // namespace

void beginMove(LocalBrake &Brake, const MoveRecord &Record) {
  if (Brake.MoveId != Record.Id) {
    Brake = LocalBrake{};
    Brake.MoveId = Record.Id;
  }
}

bool countAnswer(LocalBrake &Brake, std::string_view Route, MoveSide Side,
                 bool Failed, Duration Latency, TimePoint Now) {
  RouteWindows *Item = routeOf(Brake, Route);
  if (Item == nullptr) {
    return false;
  }
  const bool IsNew = Side == MoveSide::New;
  addToWindow(IsNew ? Item->New : Item->Old, windowNumber(Now), Failed,
              Latency);
  addAnswer(IsNew ? Item->ReportNew : Item->ReportOld, Failed, Latency);
  if (!IsNew || Brake.Held.Kind == VerdictKind::Bad) {
    return false;
  }
  Brake.Held = judge(*Item, Now);
  if (Brake.Held.Kind == VerdictKind::Bad) {
    return true;
  }
  if (Failed) {
    pauseAfterFailure(Brake, *Item, Now);
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
  const bool Braked =
      Brake.MoveId == Record.Id &&
      (Brake.Held.Kind == VerdictKind::Bad || Now < Brake.PausedUntil);
  if (Braked || Now >= Record.Deadline) {
    return 0.0;
  }
  return std::clamp(Record.Share, 0.0, 1.0);
}

EvidenceReport takeReport(LocalBrake &Brake, const MoveRecord &Record,
                          NodeId Self, Incarnation Run) {
  EvidenceReport Report = {.Node = Self,
                           .Run = Run,
                           .MoveId = Brake.MoveId,
                           .Window = Brake.NextReport++,
                           .Step = Record.Step,
                           .Routes = {}};
  for (RouteWindows &Item : Brake.Routes) {
    if (Item.ReportNew.Requests + Item.ReportOld.Requests > 0) {
      Report.Routes.push_back(
          {.Route = Item.Route, .New = Item.ReportNew, .Old = Item.ReportOld});
      Item.ReportNew = {};
      Item.ReportOld = {};
    }
  }
  return Report;
}

} // namespace magnolia::policy
