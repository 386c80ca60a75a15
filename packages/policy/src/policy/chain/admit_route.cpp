#include "policy/chain/admit_route.h"

#include "policy/chain/plan_return.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::policy {

namespace {

using Seconds = std::chrono::duration<double>;

// Maximum number of requests that are admitted at once after a pause, and of
// returned callers that are admitted ahead of new ones.
constexpr double MaxCredit = 2;
constexpr double MaxDebt = 4;

// Returns the part of an average over the given time that remains.
double remaining(Duration Passed, Duration Time) {
  return std::exp(-std::max(Seconds(Passed) / Seconds(Time), 0.0));
}

// Time over which requests are averaged.
constexpr Duration RateTime = std::chrono::seconds(1);

double rateOf(const AdmittedRoute &Route, TimePoint Now) {
  return Route.Rate * remaining(Now - Route.LastRequest, RateTime);
}

void countRequest(AdmittedRoute &Route, TimePoint Now) {
  Route.Rate = rateOf(Route, Now) + 1;
  Route.LastRequest = Now;
}

// Time without a request after which the share of a route is outdated.
constexpr Duration ForgottenAfter = std::chrono::seconds(3);

bool isIdle(const AdmittedRoute &Route, TimePoint Now) {
  return Now - Route.LastRequest > RateTime;
}

// Returns the route, or null if the table is full of routes in use.
AdmittedRoute *findOrAdd(RouteAdmissionState &State, const RankedRoute &Key,
                         TimePoint Now) {
  const auto Found = State.Routes.find(Key);
  if (Found != State.Routes.end()) {
    return &Found->second;
  }
  if (State.Routes.size() >= RouteAdmissionState::MaxRoutes) {
    const auto Idle = std::find_if(
        State.Routes.begin(), State.Routes.end(),
        [Now](const auto &Next) { return isIdle(Next.second, Now); });
    if (Idle == State.Routes.end()) {
      return nullptr;
    }
    State.Routes.erase(Idle);
  }
  AdmittedRoute Added;
  Added.Priority = Key.Priority;
  Added.Stepped = Now;
  return &State.Routes
              .emplace(std::pair(std::string(Key.Route), Key.Priority),
                       std::move(Added))
              .first->second;
}

// State of the routes that lose calls or are shed, seen from one of them.
struct Ranks {
  // Share that all of them get.
  double Share = 1;
  bool HigherLoses = false;
  // Smallest admitted share of the higher ranks.
  double HigherShare = 1;
  // True if a lower rank that loses calls has more than its minimum.
  bool LowerCanGive = false;
};

double floorOf(const RouteAdmissionOptions &Options, double SharedBy) {
  return std::max(Options.MinShare, Options.RankFloor * SharedBy);
}

// Outdated reports shed nothing, so the share rises to 1 with their age.
double trustedShare(const AdmittedRoute &Route, const RouteEvidence &Known) {
  return 1 - (1 - Route.Share) * Known.Trust;
}

Ranks ranksAround(const RouteAdmissionState &State, const AdmittedRoute &Own,
                  TimePoint Now) {
  struct Other {
    const AdmittedRoute *Route;
    bool Loses;
    double Share;
  };
  std::vector<Other> Others;
  double Requests = 0;
  double Admitted = 0;
  for (const auto &[Name, Next] : State.Routes) {
    const RouteEvidence Known = evidenceOf(Next, State.Options, Now);
    const bool Loses =
        Known.Trust > 0 && Known.loss() > State.Options.TargetLoss;
    if (Loses || (Known.Trust > 0 && Next.Share < 1)) {
      const double Rate = rateOf(Next, Now);
      Requests += Rate;
      Admitted += Rate * Next.Share;
      Others.push_back(
          {.Route = &Next, .Loses = Loses, .Share = trustedShare(Next, Known)});
    }
  }
  Ranks Result;
  Result.Share = Requests > 0 ? Admitted / Requests : 1;
  constexpr double Margin = 1.01;
  for (const Other &Next : Others) {
    if (Next.Route->Priority < Own.Priority) {
      Result.HigherLoses |= Next.Loses;
      Result.HigherShare = std::min(Result.HigherShare, Next.Share);
    } else if (Next.Route->Priority > Own.Priority) {
      Result.LowerCanGive |=
          Next.Loses &&
          Next.Route->Share > Margin * floorOf(State.Options, Result.Share);
    }
  }
  return Result;
}

// The share that the losses belong to is the lagged one: the reports do not
// reflect the newest changes yet, and to apply the same losses to each change
// in turn would admit less and less.
void decrease(const RouteAdmissionOptions &Options, AdmittedRoute &Route,
              const Ranks &Around, double Excess) {
  const double Gain =
      Around.HigherLoses ? Options.DecreaseOfLowerRank : Options.Decrease;
  const double Next = Route.LaggedShare * (1 - Gain * Excess);
  Route.Share =
      std::max(std::min(Route.Share, Next), floorOf(Options, Around.Share));
}

void increase(const RouteAdmissionOptions &Options, AdmittedRoute &Route,
              const Ranks &Around, TimePoint Now) {
  const double WithoutLosses = Seconds(Now - Route.LastLosses).count();
  double Growth =
      std::min(Options.Increase * (1 + WithoutLosses), Options.MaxIncrease);
  if (Around.HigherShare < 1) {
    Growth *= Options.IncreaseOfLowerRank;
  }
  Route.Share =
      std::min(1.0, std::max(Route.Share, Route.LaggedShare + Growth));
}

// Adapts the admitted share of the route to its losses.
void step(RouteAdmissionState &State, AdmittedRoute &Route, TimePoint Now) {
  const RouteAdmissionOptions &Options = State.Options;
  const Duration Passed = Now - Route.Stepped;
  if (Passed < Options.Step) {
    return;
  }
  Route.Stepped = Now;
  Route.LaggedShare +=
      (Route.Share - Route.LaggedShare) * (1 - remaining(Passed, Options.Lag));
  if (Passed > ForgottenAfter) {
    Route.Share = Route.LaggedShare = Route.HigherShare = 1;
    return;
  }
  const RouteEvidence Known = evidenceOf(Route, Options, Now);
  // Without evidence the share recovers as without losses: a route with few
  // requests would otherwise start again at each pause between its reports.
  const double Excess = Known.Trust > 0 ? Known.loss() - Options.TargetLoss : 0;
  const bool Lost = Excess > 0 || Now - Route.LastLosses < ForgottenAfter;
  Route.HigherShare = 1;
  if (!Lost && Route.Share >= 1) {
    return;
  }
  const Ranks Around = ranksAround(State, Route, Now);
  if (Lost) {
    // A route with few requests has few reports of its own.
    Route.HigherShare =
        std::max(Around.HigherShare, floorOf(Options, Around.Share));
  }
  if (Excess <= 0) {
    increase(Options, Route, Around, Now);
    return;
  }
  Route.LastLosses = Now;
  if (!Around.LowerCanGive) {
    decrease(Options, Route, Around, Excess);
  }
}

// Replaces the last report of the same sidecar, or the oldest one of all if
// there is no room.
void addReport(std::vector<AdmittedRoute::Report> &Reports,
               const AdmittedRoute::Report &New) {
  using Report = AdmittedRoute::Report;
  auto Place =
      std::find_if(Reports.begin(), Reports.end(), [&New](const Report &Next) {
        return Next.Node == New.Node;
      });
  if (Place == Reports.end() && Reports.size() < AdmittedRoute::MaxReports) {
    Reports.push_back(New);
    return;
  }
  if (Place == Reports.end()) {
    Place = std::min_element(Reports.begin(), Reports.end(),
                             [](const Report &Left, const Report &Right) {
                               return Left.At < Right.At;
                             });
  }
  *Place = New;
}

bool takeCredit(AdmittedRoute &Route, double Share) {
  Route.Credit = std::min(Route.Credit + Share, MaxCredit);
  if (Route.Credit < 1) {
    return false;
  }
  Route.Credit -= 1;
  return true;
}

} // namespace

RouteDecision admitRoute(RouteAdmissionState &State,
                         const RouteArrival &Arrival, TimePoint Now) {
  if (!Arrival.Aware || Arrival.Nested || Arrival.Route.empty()) {
    return {};
  }
  AdmittedRoute *const Route = findOrAdd(
      State, {.Route = Arrival.Route, .Priority = Arrival.Priority}, Now);
  if (!Route) {
    ++State.Untracked;
    return {};
  }
  step(State, *Route, Now);
  RouteDecision Decision{.HigherShare = Route->HigherShare,
                         .Evidence = evidenceOf(*Route, State.Options, Now)};
  Decision.Share =
      std::min(trustedShare(*Route, Decision.Evidence), Route->HigherShare);
  const ReturnStatus Status = takePlace(*Route, Arrival.CallerDeadline, Now);
  if (Status != ReturnStatus::Early) {
    countRequest(*Route, Now);
  }
  if (Decision.Share >= 1) {
    return Decision;
  }
  if (Status == ReturnStatus::Kept && Route->Credit > -MaxDebt) {
    Route->Credit += Decision.Share - 1;
    Decision.Returned = true;
    return Decision;
  }
  if (Status == ReturnStatus::Early) {
    // A caller that returns early and often has no more chances than others.
    Decision.Admitted = false;
    ++Route->Shed;
    return Decision;
  }
  Decision.Admitted = takeCredit(*Route, Decision.Share);
  Route->Shed += Decision.Admitted ? 0 : 1;
  return Decision;
}

void onRouteCounts(RouteAdmissionState &State, std::string_view Route,
                   NodeId Sidecar, const RouteCounts &Counts, TimePoint Now) {
  if (Counts.Runs == 0) {
    return;
  }
  const AdmittedRoute::Report New{.Node = Sidecar, .Counts = Counts, .At = Now};
  for (auto Known = State.Routes.lower_bound(RankedRoute{.Route = Route});
       Known != State.Routes.end() && Known->first.first == Route; ++Known) {
    addReport(Known->second.Reports, New);
  }
}

} // namespace magnolia::policy
