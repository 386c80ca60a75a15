#include "policy/route/internal/score.h"

#include <algorithm>

namespace magnolia::policy::internal {

namespace {

double weightOf(Duration Age, Duration Decay) {
  const auto Whole = static_cast<double>(Decay.count());
  return Whole / (Whole + std::max<double>(0, Age.count()));
}

double latencyOf(const RouteState &State, const Candidate &Next,
                 TimePoint Now) {
  double Rest = static_cast<double>(State.Median.count());
  if (Rest == 0) {
    Rest = static_cast<double>(State.Options.DefaultLatency.count());
  }
  // The report fills in where own measurements are missing or old.
  Rest = std::max(Rest, static_cast<double>(Next.Report.Latency.count()));
  if (Next.Samples == 0) {
    return Rest;
  }
  const double Weight =
      weightOf(Now - Next.LatencyAt, State.Options.LatencyDecay);
  return Weight * static_cast<double>(Next.Latency.count()) +
         (1 - Weight) * Rest;
}

// Factor on the time of work from other load on the instance. A spell lasts
// for some tenths of a second, so a report soon says little.
double workTimeFactor(const RouteState &State, const Candidate &Next,
                      TimePoint Now) {
  constexpr double Usual = 100;
  if (Next.Report.WorkTimePercent == 0 || Next.ReportAt == TimePoint{}) {
    return 1;
  }
  const double Excess = std::max(0.0, Next.Report.WorkTimePercent / Usual - 1);
  return 1 + Excess * weightOf(Now - Next.ReportAt, State.Options.ReportDecay);
}

} // namespace

double rampShare(const RouteState &State, const Candidate &Next,
                 TimePoint Now) {
  if (Next.RampFrom == TimePoint{}) {
    return 1;
  }
  const auto Age = static_cast<double>((Now - Next.RampFrom).count());
  const auto Whole = static_cast<double>(State.Options.Ramp.count());
  return Whole <= 0 ? 1 : std::clamp(Age / Whole, 0.0, 1.0);
}

double expectedInFlight(const RouteState &State, const Candidate &Next,
                        TimePoint Now) {
  double Others = Next.Others;
  if (Next.ReportAt != TimePoint{}) {
    const double Reported =
        static_cast<double>(Next.Report.InFlight) + Next.Report.Waiting;
    const double Fresh = std::max(0.0, Reported - Next.InFlightAtReport);
    const double Weight =
        weightOf(Now - Next.ReportAt, State.Options.ReportDecay);
    Others = Weight * Fresh + (1 - Weight) * Others;
  }
  return Next.InFlight + Others;
}

double expectedLimit(const RouteState &State, const Candidate &Next,
                     TimePoint Now) {
  double Limit =
      Next.Report.Limit == 0 ? State.Options.DefaultLimit : Next.Report.Limit;
  if (Next.OwnLimit > 0) {
    Limit = std::min<double>(Limit, Next.OwnLimit);
  }
  return std::max(1.0, Limit * rampShare(State, Next, Now));
}

Score score(const RouteState &State, const Candidate &Next, TimePoint Now) {
  const double InFlight = expectedInFlight(State, Next, Now);
  const double Limit = expectedLimit(State, Next, Now);
  const double Latency =
      latencyOf(State, Next, Now) * workTimeFactor(State, Next, Now);
  const double Queue = std::max(0.0, InFlight + 1 - Limit) / Limit;
  const double Distance = static_cast<double>(Next.Spec.Distance.count());
  // Noisy neighbours hurt most where many slots are taken, so the load counts
  // by its square: half a load is cheap, the last slots are not.
  const double Load = InFlight / Limit;
  const double Far = Distance > 0 ? State.Options.FarFactor : 1.0;
  return {.Cost = Latency * (1 + Load * Load + Queue) * Far + Distance,
          .Full = InFlight + 1 > Limit + 0.5};
}

} // namespace magnolia::policy::internal
