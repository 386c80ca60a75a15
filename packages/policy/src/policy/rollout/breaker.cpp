#include "policy/rollout/breaker.h"
#include "policy/rollout/compare_versions.h"
#include "policy/rollout/internal/evaluate_routes.h"
#include "policy/rollout/internal/ring.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

using RouteResponses = RolloutBreaker::RouteResponses;

RouteResponses &responsesOf(RolloutBreaker &Breaker, std::string_view Route) {
  const RouteRow Row = rowOf(Breaker.Rows, Route);
  if (Row.Number == Breaker.Routes.size()) {
    Breaker.Routes.emplace_back().Route = Row.Name;
  }
  return Breaker.Routes[Row.Number];
}

void count(RolloutBreaker &Breaker, RouteResponses &Item, VersionRole Role,
           bool Failed, Duration Latency, TimePoint Now) {
  ResponsePair Added;
  addResponse(Role == VersionRole::New ? Added.New : Added.Old, Failed,
              Latency);
  // Counts the response in the window in which its request was sent. By the
  // time of the response, slow responses from a burst of noise would be counted
  // together with fast ones from after it.
  internal::addToRings(Item.Ring, Breaker.All,
                       internal::windowNumber(Now - Latency), Added);
  addPair(Item.Step, Added);
  addPair(Item.Report, Added);
}

Verdict evaluate(const RolloutBreaker &Breaker, const RouteResponses &Item,
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
    Result = internal::evaluateAllRoutes(Breaker.All, Now);
  }
  return Result;
}

// Stops requests to the new version for a moment after a failure that does not
// yet lead to a verdict, unless the old version has failed recently as well.
void openAfterFailure(RolloutBreaker &Breaker, const RouteResponses &Item,
                      TimePoint Now) {
  const ResponsePair Recent = internal::pairedSum(
      Item.Ring, internal::windowNumber(Now), ResponseRing::RecentCount);
  // A single failure among many responses does not indicate a bad version.
  constexpr std::uint64_t ManyResponses = 50;
  if (Recent.Old.Failures > 0 || Recent.New.Requests >= ManyResponses ||
      Now < Breaker.HalfOpenUntil) {
    return;
  }
  Breaker.OpenUntil = Now + BreakerOpenTime;
  Breaker.HalfOpenUntil = Breaker.OpenUntil + BreakerHalfOpenTime;
  Breaker.HalfOpenRoute =
      static_cast<std::size_t>(&Item - Breaker.Routes.data());
  Breaker.HalfOpenResponses = 0;
  ++Breaker.Pauses;
}

void updateHalfOpen(RolloutBreaker &Breaker, const RouteResponses &Item,
                    TimePoint Now) {
  const auto Index = static_cast<std::size_t>(&Item - Breaker.Routes.data());
  if (Now < Breaker.OpenUntil || Now >= Breaker.HalfOpenUntil ||
      Index != Breaker.HalfOpenRoute) {
    return;
  }
  if (++Breaker.HalfOpenResponses >= BreakerHalfOpenResponses) {
    Breaker.HalfOpenUntil = Now;
  }
}

// Returns the share with which the half-open period gets its responses within a
// fraction of a second.
double halfOpenShare(const RolloutBreaker &Breaker, TimePoint Now) {
  const std::uint64_t Requests = internal::recentRequests(
      Breaker.Routes[Breaker.HalfOpenRoute].Ring, internal::windowNumber(Now));
  const double Seconds =
      std::chrono::duration<double>(ResponseRing::WindowTime *
                                    ResponseRing::RecentCount)
          .count();
  const double Rate = static_cast<double>(Requests) / Seconds;
  return std::min(BreakerHalfOpenRate / std::max(Rate, 1.0),
                  BreakerHalfOpenShare);
}

} // namespace

void beginRollout(RolloutBreaker &Breaker, const RolloutRecord &Record) {
  if (Breaker.RolloutId != Record.Id) {
    Breaker = RolloutBreaker{};
    Breaker.RolloutId = Record.Id;
  }
  if (Breaker.Step != Record.Step) {
    Breaker.Step = Record.Step;
    for (RouteResponses &Item : Breaker.Routes) {
      Item.Step = {};
    }
  }
}

bool countResponse(RolloutBreaker &Breaker, std::string_view Route,
                   VersionRole Role, bool Failed, Duration Latency,
                   TimePoint Now) {
  RouteResponses &Item = responsesOf(Breaker, Route);
  count(Breaker, Item, Role, Failed, Latency, Now);
  if (Role == VersionRole::Old || Breaker.Current.Kind == VerdictKind::Bad) {
    return false;
  }
  Breaker.Current = evaluate(Breaker, Item, Now);
  if (Breaker.Current.Kind == VerdictKind::Bad) {
    return true;
  }
  if (Failed) {
    openAfterFailure(Breaker, Item, Now);
  } else {
    updateHalfOpen(Breaker, Item, Now);
  }
  return false;
}

bool joinVerdict(RolloutBreaker &Breaker, std::string_view RolloutId,
                 const Verdict &Sent) {
  if (Breaker.RolloutId != RolloutId ||
      Breaker.Current.Kind == VerdictKind::Bad) {
    return false;
  }
  Breaker.Current = joinVerdict(Breaker.Current, Sent);
  return Breaker.Current.Kind == VerdictKind::Bad;
}

double effectiveShare(const RolloutRecord &Record,
                      const RolloutBreaker &Breaker, TimePoint Now) {
  switch (Record.Phase) {
  case RolloutPhase::Planned:
  case RolloutPhase::RolledBack:
    return 0.0;
  case RolloutPhase::Done:
    return 1.0;
  case RolloutPhase::Shifting:
    break;
  }
  if (Now >= Record.Deadline) {
    return 0.0;
  }
  const double Share = std::clamp(Record.Share, 0.0, 1.0);
  if (Breaker.RolloutId != Record.Id) {
    return Share;
  }
  if (Breaker.Current.Kind == VerdictKind::Bad || Now < Breaker.OpenUntil) {
    return 0.0;
  }
  return Now < Breaker.HalfOpenUntil
             ? std::max(Share, halfOpenShare(Breaker, Now))
             : Share;
}

} // namespace magnolia::policy
