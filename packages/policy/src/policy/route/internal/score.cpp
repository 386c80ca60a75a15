#include "policy/route/internal/score.h"

#include <algorithm>

namespace magnolia::policy::internal {

namespace {

double weightOf(Duration Age, Duration Decay) {
  const auto Whole = static_cast<double>(Decay.count());
  return Whole / (Whole + std::max<double>(0, Age.count()));
}

double latencyOf(const RouteState &State, const Candidate &Server,
                 TimePoint Now) {
  double Fallback = static_cast<double>(State.Median.count());
  if (Fallback == 0) {
    Fallback = static_cast<double>(State.Options.DefaultLatency.count());
  }
  // The load report replaces measurements that are missing or old.
  Fallback =
      std::max(Fallback, static_cast<double>(Server.Report.Latency.count()));
  if (Server.Samples == 0) {
    return Fallback;
  }
  const double Weight =
      weightOf(Now - Server.LatencyAt, State.Options.LatencyDecay);
  return Weight * static_cast<double>(Server.Latency.count()) +
         (1 - Weight) * Fallback;
}

// Slowdown of processing by other load on the instance. A slowdown lasts for
// some tenths of a second, so the weight of a report decays quickly.
double workTimeFactor(const RouteState &State, const Candidate &Server,
                      TimePoint Now) {
  constexpr double UsualPercent = 100;
  if (Server.Report.WorkTimePercent == 0 || Server.ReportAt == TimePoint{}) {
    return 1;
  }
  const double Excess =
      std::max(0.0, Server.Report.WorkTimePercent / UsualPercent - 1);
  return 1 +
         Excess * weightOf(Now - Server.ReportAt, State.Options.ReportDecay);
}

} // namespace

double rampShare(const RouteState &State, const Candidate &Server,
                 TimePoint Now) {
  if (Server.RampFrom == TimePoint{}) {
    return 1;
  }
  const auto Age = static_cast<double>((Now - Server.RampFrom).count());
  const auto Whole = static_cast<double>(State.Options.Ramp.count());
  return Whole <= 0 ? 1 : std::clamp(Age / Whole, 0.0, 1.0);
}

double expectedInFlight(const RouteState &State, const Candidate &Server,
                        TimePoint Now) {
  double OthersInFlight = Server.OthersInFlight;
  if (Server.ReportAt != TimePoint{}) {
    const double Reported =
        static_cast<double>(Server.Report.InFlight) + Server.Report.Waiting;
    const double ReportedOthers =
        std::max(0.0, Reported - Server.InFlightAtReport);
    const double Weight =
        weightOf(Now - Server.ReportAt, State.Options.ReportDecay);
    OthersInFlight = Weight * ReportedOthers + (1 - Weight) * OthersInFlight;
  }
  return Server.InFlight + OthersInFlight;
}

double expectedLimit(const RouteState &State, const Candidate &Server,
                     TimePoint Now) {
  double Limit = Server.Report.Limit == 0 ? State.Options.DefaultLimit
                                          : Server.Report.Limit;
  if (Server.ObservedLimit > 0) {
    Limit = std::min<double>(Limit, Server.ObservedLimit);
  }
  return std::max(1.0, Limit * rampShare(State, Server, Now));
}

double linkBusyShare(const RouteState &State, const Candidate &Server,
                     TimePoint Now) {
  const RouteOptions &Options = State.Options;
  if (Server.ReportAt == TimePoint{} ||
      Now - Server.ReportAt > Options.LinkUseMaxAge) {
    return 0;
  }
  return std::clamp((Server.Report.LinkUsePercent - Options.BusyLinkFrom) /
                        (Options.BusyLinkFull - Options.BusyLinkFrom),
                    0.0, 1.0);
}

bool hasConnectFailed(const RouteState &State, const Candidate &Server,
                      TimePoint Now) {
  return Server.ConnectFailedAt != TimePoint{} &&
         Now - Server.ConnectFailedAt < State.Options.ConnectFailureHold;
}

Score score(const RouteState &State, const Candidate &Server, TimePoint Now) {
  const double InFlight = expectedInFlight(State, Server, Now);
  const double Limit = expectedLimit(State, Server, Now);
  const double Latency =
      latencyOf(State, Server, Now) * workTimeFactor(State, Server, Now);
  const double Queue = std::max(0.0, InFlight + 1 - Limit) / Limit;
  const double Distance = static_cast<double>(Server.Spec.Distance.count());
  // The load counts by its square because noisy neighbours slow a server most
  // when many of its slots are taken.
  const double Load = InFlight / Limit;
  const double ZoneFactor = Distance > 0 ? State.Options.FarFactor : 1.0;
  return {.Cost = Latency * (1 + Load * Load + Queue) * ZoneFactor + Distance,
          .Full = InFlight + 1 > Limit + 0.5};
}

} // namespace magnolia::policy::internal
