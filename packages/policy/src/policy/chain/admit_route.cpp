#include "policy/chain/admit_route.h"

#include "policy/chain/adapt_share.h"
#include "policy/chain/plan_return.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::policy {

namespace {

// Maximum number of requests that are admitted at once after a pause, and of
// returned callers that are admitted ahead of new ones.
constexpr double MaxCredit = 2;
constexpr double MaxDebt = 4;

// Time without a request after which a route makes room for another one.
constexpr Duration MaxIdle = std::chrono::seconds(1);

bool isIdle(const AdmittedRoute &Route, TimePoint Now) {
  return Now - Route.LastRequest > MaxIdle;
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
  adaptShare(State, *Route, Now);
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
