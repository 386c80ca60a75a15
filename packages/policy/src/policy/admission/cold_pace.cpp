#include "policy/admission/cold_pace.h"

#include <algorithm>
#include <cmath>

namespace magnolia::policy {

namespace {

// Returns true after a pause that makes up for a burst, so that no second has
// more starts than the rate permits.
bool isBurstAllowed(const ColdPace &Pace, Duration Interval, TimePoint Now) {
  return Now >= Pace.Next + (ColdBurst - 1) * Interval;
}

} // namespace

Duration paceInterval(double PerSecond) {
  constexpr double SecondTicks = Duration(std::chrono::seconds(1)).count();
  return Duration(
      static_cast<Duration::rep>(std::ceil(SecondTicks / PerSecond)));
}

TimePoint nextPacedStart(const ColdPace &Pace, double PerSecond,
                         TimePoint Now) {
  const bool Early =
      Pace.EarlyLeft > 0 || isBurstAllowed(Pace, paceInterval(PerSecond), Now);
  return Early ? Now : std::max(Now, Pace.Next);
}

void recordPacedStart(ColdPace &Pace, double PerSecond, TimePoint Now) {
  const Duration Interval = paceInterval(PerSecond);
  if (isBurstAllowed(Pace, Interval, Now)) {
    Pace = {.Next = Now + Interval, .EarlyLeft = ColdBurst - 1};
    return;
  }
  Pace.EarlyLeft =
      Now < Pace.Next && Pace.EarlyLeft > 0 ? Pace.EarlyLeft - 1 : 0;
  // A waiting request that wakes up late does not lower the rate.
  const Duration MaxLateness = Interval / 2;
  Pace.Next = std::max(Pace.Next, Now - MaxLateness) + Interval;
}

void returnPacedStart(ColdPace &Pace, double PerSecond, TimePoint Now) {
  if (Pace.Next > Now) {
    Pace.Next = std::max(Now, Pace.Next - paceInterval(PerSecond));
  }
}

} // namespace magnolia::policy
