#include "policy/chain/plan_return.h"

#include "policy/chain/admit_route.h"
#include "policy/overload/return_delay.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

using Seconds = std::chrono::duration<double>;

// A caller waits at most this part of the time that it has left when it reads
// the response, which takes a while to arrive.
constexpr int WaitedPart = 3;
constexpr Duration ResponseTime = std::chrono::milliseconds(30);
// Longest delay of a caller that does not state how long it waits.
constexpr Duration MaxDelay = std::chrono::seconds(1);
// Tolerances with which a returned caller is recognised: its deadline is stated
// in whole milliseconds, and both requests take a variable time to arrive.
constexpr Duration DeadlineTolerance = std::chrono::milliseconds(20);
constexpr Duration BeforeDue = std::chrono::milliseconds(10);
constexpr Duration AfterDue = std::chrono::milliseconds(150);
// Longest part of the schedule over which one place is spread.
constexpr Duration MaxSpread = std::chrono::milliseconds(100);

Duration between(Duration Min, Duration Max, RandomEngine &Random) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      Min.count(), std::max(Min, Max).count())(Random));
}

bool isSameCaller(const ReturnPromise &Promise, TimePoint CallerDeadline) {
  return Promise.CallerDeadline > CallerDeadline - DeadlineTolerance &&
         Promise.CallerDeadline < CallerDeadline + DeadlineTolerance;
}

// Returns the promise to a caller that returns before its time, or null. The
// promise must be older than the tolerance: callers that arrive for the first
// time within it have the same deadline.
const ReturnPromise *findEarly(const AdmittedRoute &Route,
                               TimePoint CallerDeadline, TimePoint Now) {
  const auto Found =
      std::find_if(Route.Promises.begin(), Route.Promises.end(),
                   [&](const ReturnPromise &Next) {
                     return Next.Due > Now + BeforeDue &&
                            Next.Made + DeadlineTolerance <= Now &&
                            isSameCaller(Next, CallerDeadline);
                   });
  return Found != Route.Promises.end() ? &*Found : nullptr;
}

void removeExpired(AdmittedRoute &Route, TimePoint Now) {
  std::erase_if(Route.Promises, [Now](const ReturnPromise &Next) {
    return Next.Due + AfterDue < Now;
  });
}

// Time between two places for returned callers.
Duration interval(const AdmittedRoute &Route,
                  const RouteAdmissionOptions &Options) {
  const double PerSecond = Route.Rate *
                           std::min(Route.Share, Route.HigherShare) *
                           Options.ReturnShare;
  return PerSecond > 0 ? std::min(std::chrono::duration_cast<Duration>(
                                      Seconds(1 / PerSecond)),
                                  MaxDelay)
                       : MaxDelay;
}

// Longest delay for which the caller is likely to wait.
Duration longestDelay(TimePoint CallerDeadline, TimePoint Now) {
  return CallerDeadline == TimePoint{}
             ? MaxDelay
             : std::clamp((CallerDeadline - Now - ResponseTime) / WaitedPart,
                          Duration{0}, MaxDelay);
}

} // namespace

Duration planReturn(RouteAdmissionState &State, const RouteArrival &Arrival,
                    ErrorKind Kind, TimePoint Now, RandomEngine &Random) {
  const Duration Soonest = returnDelay(Kind, Random);
  const auto Found = State.Routes.find(
      RankedRoute{.Route = Arrival.Route, .Priority = Arrival.Priority});
  if (!Arrival.Aware || Arrival.Nested || Found == State.Routes.end()) {
    return Soonest;
  }
  AdmittedRoute &Route = Found->second;
  removeExpired(Route, Now);
  if (const auto *const Known = findEarly(Route, Arrival.CallerDeadline, Now)) {
    return Known->Due - Now;
  }
  const Duration Longest = longestDelay(Arrival.CallerDeadline, Now);
  const Duration Gap = interval(Route, State.Options);
  const TimePoint Place = std::max(Route.NextPlace, Now + Soonest);
  Duration Delay =
      Place - Now + between(Duration{0}, std::min(Gap, MaxSpread), Random);
  const bool InTime = Delay <= Longest;
  if (InTime) {
    Route.NextPlace = Place + Gap;
  } else {
    const Duration Shortest = std::max(std::min(Soonest, Longest), Longest / 2);
    Delay = between(Shortest, Longest, Random);
  }
  if (Arrival.CallerDeadline != TimePoint{} &&
      Route.Promises.size() < AdmittedRoute::MaxPromises) {
    Route.Promises.push_back({.Made = Now,
                              .Due = Now + Delay,
                              .CallerDeadline = Arrival.CallerDeadline,
                              .Kept = InTime});
  }
  return Delay;
}

ReturnStatus takePlace(AdmittedRoute &Route, TimePoint CallerDeadline,
                       TimePoint Now) {
  removeExpired(Route, Now);
  const auto Due = std::find_if(Route.Promises.begin(), Route.Promises.end(),
                                [&](const ReturnPromise &Next) {
                                  return Next.Due <= Now + BeforeDue &&
                                         isSameCaller(Next, CallerDeadline);
                                });
  if (Due == Route.Promises.end()) {
    return findEarly(Route, CallerDeadline, Now) ? ReturnStatus::Early
                                                 : ReturnStatus::New;
  }
  const bool Kept = Due->Kept;
  Route.Promises.erase(Due);
  return Kept ? ReturnStatus::Kept : ReturnStatus::New;
}

} // namespace magnolia::policy
