#include "policy/admission/internal/cold_rate.h"

#include <algorithm>

namespace magnolia::policy::internal {

namespace {

double coldRate(const AdmissionState &State) {
  return State.Options.ColdFactor * State.Options.ColdPerSecond;
}

bool isRateLimited(const AdmissionState &State, TimePoint Now) {
  return isCold(State, Now) && State.Options.ColdPerSecond > 0;
}

} // namespace

bool isPaced(const AdmissionState &State, TimePoint Now) {
  return State.Options.PacesCold && isRateLimited(State, Now);
}

bool isColdRateReached(AdmissionState &State, TimePoint Now) {
  if (isPaced(State, Now)) {
    return nextColdStart(State, Now) > Now;
  }
  return isRateLimited(State, Now) &&
         static_cast<double>(arrivalsInLastSecond(State.Arrivals, Now) + 1) >
             coldRate(State);
}

TimePoint nextColdStart(const AdmissionState &State, TimePoint Now) {
  const double Rate = coldRate(State);
  if (Rate < 1) {
    return State.ColdUntil;
  }
  const TimePoint Next = std::max(
      nextPacedStart(State.Pace, Rate, Now),
      timeWithFewer(State.Arrivals, static_cast<std::size_t>(Rate), Now));
  return std::min(Next, State.ColdUntil);
}

Duration expectedColdWait(const AdmissionState &State, std::size_t Before,
                          TimePoint Now) {
  if (!isPaced(State, Now)) {
    return Duration{0};
  }
  const TimePoint First = nextColdStart(State, Now);
  if (First == State.ColdUntil) {
    return First - Now;
  }
  const Duration Spacing = paceInterval(coldRate(State)) * Before;
  return std::min(First + Spacing, State.ColdUntil) - Now;
}

void recordColdStart(AdmissionState &State, TimePoint Now) {
  if (isPaced(State, Now) && coldRate(State) >= 1) {
    recordPacedStart(State.Pace, coldRate(State), Now);
  }
}

void returnColdStart(AdmissionState &State, TimePoint StartedAt,
                     TimePoint Now) {
  if (!isPaced(State, Now) || !removeArrival(State.Arrivals, StartedAt)) {
    return;
  }
  if (coldRate(State) >= 1) {
    returnPacedStart(State.Pace, coldRate(State), Now);
  }
}

} // namespace magnolia::policy::internal
