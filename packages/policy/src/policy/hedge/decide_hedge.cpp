#include "policy/hedge/decide_hedge.h"

#include "policy/retry/plan_next.h"
#include "policy/route/estimate.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

constexpr std::uint32_t MedianPercent = 50;
// Share of the slots up to which a server counts as having room. Backend
// servers slow down when most of their slots are taken, so a hedge would slow
// down the requests beside it.
constexpr double UsableShare = 0.8;
// Late requests of the last second from which the whole service may count as
// slow.
constexpr std::uint32_t MinLate = 3;
constexpr std::uint32_t EnoughRequests = 12;
// Candidates whose reports are examined for one hedge.
constexpr std::size_t MaxExamined = 64;

SlowShare::Step &currentStep(SlowShare &Share, TimePoint Now) {
  const std::int64_t Number = Now.time_since_epoch() / SlowShare::StepLength;
  SlowShare::Step &Current =
      Share.Recent[static_cast<std::uint64_t>(Number) % SlowShare::Steps];
  if (Current.Number != Number) {
    Current = {.Number = Number};
  }
  return Current;
}

// A slow server delays the requests sent to it; if most requests are late, a
// second copy would be late as well. The latest steps that hold enough requests
// decide, so that a busy node notices within a fraction of a second.
bool isServiceSlow(const SlowShare &Share, TimePoint Now) {
  const std::int64_t Newest = Now.time_since_epoch() / SlowShare::StepLength;
  std::uint64_t Early = 0;
  std::uint64_t Late = 0;
  for (std::int64_t Number = Newest;
       Number > Newest - std::int64_t{SlowShare::Steps} &&
       Early + Late < EnoughRequests;
       --Number) {
    const SlowShare::Step &Step =
        Share.Recent[static_cast<std::uint64_t>(Number) % SlowShare::Steps];
    if (Step.Number == Number) {
      Early += Step.Early;
      Late += Step.Late;
    }
  }
  return Late >= MinLate && Late > Early;
}

template <class Range, class Value>
bool contains(const Range &Within, const Value &Wanted) {
  return std::find(Within.begin(), Within.end(), Wanted) != Within.end();
}

bool isFresh(const Candidate &Server, TimePoint Now) {
  return Server.ReportAt != TimePoint{} &&
         Now - Server.ReportAt <= MaxHedgeReportAge && Server.Report.Limit > 0;
}

// Requests at the server by its report, and those that this node has sent
// since.
std::uint32_t requestsAt(const Candidate &Server) {
  const std::uint32_t SentSince =
      Server.InFlight > Server.InFlightAtReport
          ? Server.InFlight - Server.InFlightAtReport
          : 0;
  return Server.Report.InFlight + Server.Report.Waiting + SentSince;
}

std::uint32_t usableSlots(const LoadReport &Report) {
  return std::max(1U, static_cast<std::uint32_t>(UsableShare * Report.Limit));
}

bool isEligible(const RouteState &Servers, const Candidate &Server,
                const HedgeQuery &Query, TimePoint Now) {
  const bool Ramping = Server.RampFrom != TimePoint{} &&
                       Now - Server.RampFrom < Servers.Options.Ramp;
  return Server.Health.Phase == HealthPhase::Healthy &&
         !Server.Report.Draining && !Server.Report.ColdStart && !Ramping &&
         !contains(Query.Tried, Server.Spec.Node) &&
         (Query.Versions.empty() ||
          contains(Query.Versions, Server.Spec.Version));
}

// Servers with fresh reports: their load, and the one from which a response is
// expected first.
struct Survey {
  std::uint64_t Requests = 0;
  std::uint64_t Limits = 0;
  const Candidate *Best = nullptr;
  Duration Finish = Duration::max();
};

Survey examine(const RouteState &Servers, const HedgeQuery &Query,
               TimePoint Now, RandomEngine &Random) {
  Survey Found;
  const std::size_t Count = Servers.Active.size();
  const std::size_t Start = Count == 0 ? 0 : Random() % Count;
  for (std::size_t I = 0; I < std::min(Count, MaxExamined); ++I) {
    const Candidate &Server =
        Servers.Candidates[Servers.Active[(Start + I) % Count]];
    if (!isFresh(Server, Now)) {
      continue;
    }
    const std::uint32_t Requests = requestsAt(Server);
    Found.Requests += Requests;
    Found.Limits += Server.Report.Limit;
    if (Requests >= usableSlots(Server.Report) ||
        !isEligible(Servers, Server, Query, Now)) {
      continue;
    }
    const Duration Finish = estimate(Servers, Server, Now).Finish;
    if (Finish < Found.Finish) {
      Found.Best = &Server;
      Found.Finish = Finish;
    }
  }
  return Found;
}

bool isBusy(const Survey &Found) {
  return static_cast<double>(Found.Requests) >
         UsableShare * static_cast<double>(Found.Limits);
}

HedgeDecision refuse(HedgeState &State, HedgeRefusal Reason) {
  ++(Reason == HedgeRefusal::Limit ? State.RefusedByLimit : State.RefusedOther);
  return {.Refusal = Reason};
}

// Returns true if a second copy can be answered before the deadline.
bool hasTime(HedgeState &State, const AttemptState &Attempts,
             std::string_view Route, TimePoint Now) {
  const auto Found = State.Routes.find(Route);
  const auto Usual = Found == State.Routes.end()
                         ? std::nullopt
                         : quantile(Found->second, MedianPercent, Now);
  return Usual && Now + *Usual < Attempts.Deadline;
}

} // namespace

void recordHedgeRequest(HedgeState &State, std::uint32_t Percent) {
  ++State.Requests;
  State.Limit.Credit =
      std::min(State.Limit.Credit + Percent, HedgeLimit::HedgeCost);
}

std::optional<Duration> hedgeDelay(HedgeState &State, std::string_view Route,
                                   const HedgeOptions &Options, TimePoint Now) {
  const auto Found = State.Routes.find(Route);
  if (Found == State.Routes.end()) {
    return std::nullopt;
  }
  auto Delay = quantile(Found->second, Options.Quantile, Now);
  if (Delay) {
    Delay = std::max<Duration>(*Delay,
                               std::chrono::milliseconds(Options.MinDelayMs));
  }
  return Delay;
}

void recordHedgeTime(HedgeState &State, std::string_view Route, Duration Length,
                     bool Early, TimePoint Now) {
  if (Early) {
    ++currentStep(State.Slow, Now).Early;
  }
  auto Found = State.Routes.find(Route);
  if (Found == State.Routes.end()) {
    if (State.Routes.size() == HedgeState::MaxRoutes) {
      ++State.RoutesRefused;
      return;
    }
    Found = State.Routes.emplace(Route, ResponseTimes{}).first;
  }
  recordTime(Found->second, Length, Now);
}

HedgeDecision decideHedge(HedgeState &State, const RouteState &Servers,
                          AttemptState &Attempts, RetryBudget &Budget,
                          const HedgeQuery &Query, TimePoint Now,
                          RandomEngine &Random) {
  if (!Attempts.Idempotent) {
    return refuse(State, HedgeRefusal::NotIdempotent);
  }
  ++currentStep(State.Slow, Now).Late;
  if (Query.Stopping) {
    return refuse(State, HedgeRefusal::Stopping);
  }
  if (!hasTime(State, Attempts, Query.Route, Now)) {
    return refuse(State, HedgeRefusal::NoTimeLeft);
  }
  if (isServiceSlow(State.Slow, Now)) {
    return refuse(State, HedgeRefusal::ServiceSlow);
  }
  if (State.Limit.Credit < HedgeLimit::HedgeCost) {
    return refuse(State, HedgeRefusal::Limit);
  }
  const Survey Found = examine(Servers, Query, Now, Random);
  if (isBusy(Found)) {
    return refuse(State, HedgeRefusal::ServiceBusy);
  }
  if (Found.Best == nullptr) {
    return refuse(State, HedgeRefusal::NoRoom);
  }
  if (planNext(Attempts, {.Event = OutcomeEvent::Slow}, Budget, Now).Action !=
      RetryAction::Hedge) {
    return refuse(State, HedgeRefusal::Attempts);
  }
  State.Limit.Credit -= HedgeLimit::HedgeCost;
  ++State.Sent;
  return {.Target = Found.Best->Spec.Node,
          .Room = usableSlots(Found.Best->Report) - requestsAt(*Found.Best)};
}

} // namespace magnolia::policy
