#include "policy/route/internal/health.h"

#include "policy/outlier/eject.h"

#include <algorithm>

namespace magnolia::policy::internal {

namespace {

LatencyStats latencyStats(const RouteState &State, const Candidate &Server,
                          TimePoint Now) {
  // The network time to another zone does not count against the candidate.
  const Duration Distance = Server.Spec.Distance;
  const std::int64_t AgeSum =
      (Now.time_since_epoch() - Distance).count() * Server.InFlight -
      Server.StartTimeSum;
  return {.Latency = Server.Latency,
          .Samples = Server.Samples,
          .Reported = Server.Report.Latency,
          .Open = Server.InFlight,
          .OpenAges = Duration{AgeSum},
          .ProbeAge = Server.ProbeAt == TimePoint{}
                          ? Duration{0}
                          : Now - Server.ProbeAt - Distance,
          .Median = State.Median};
}

double peerFailureRate(const RouteState &State, const Candidate &Server) {
  const std::size_t Peers = State.Active.size();
  if (Peers < 2) {
    return 1;
  }
  const double Sum = State.FailureSum - Server.Health.FailureRate;
  return std::max(0.0, Sum) / static_cast<double>(Peers - 1);
}

} // namespace

bool isActive(const Candidate &Server) {
  return !Server.Spec.ZoneOut && !Server.Spec.Draining;
}

void ejectIfOutlier(RouteState &State, Candidate &Server, TimePoint Now) {
  if (Server.Health.Phase != HealthPhase::Healthy || !isActive(Server)) {
    return;
  }
  const OutlierOptions &Options = State.Options.Outlier;
  const LatencyStats Stats = latencyStats(State, Server, Now);
  if (!isOverdue(Stats, Options) && !isSlow(Stats, Options) &&
      !isFailing(Server.Health, peerFailureRate(State, Server), Options)) {
    return;
  }
  if (!mayEject(State.Active.size(), State.Ejected)) {
    ++State.Counters.EjectionsRefused;
    return;
  }
  eject(Server.Health, Options, Now);
  ++State.Ejected;
  ++State.Counters.Ejections;
}

void countResult(RouteState &State, Candidate &Server, bool Failed) {
  const float Before = Server.Health.FailureRate;
  recordResult(Server.Health, Failed);
  if (isActive(Server)) {
    State.FailureSum += Server.Health.FailureRate - Before;
  }
}

void finishTrial(RouteState &State, Candidate &Server, bool Good,
                 TimePoint Now) {
  const float Before = Server.Health.FailureRate;
  endTrial(Server.Health, Good, State.Options.Outlier, Now);
  if (Server.Health.Phase != HealthPhase::Healthy) {
    return;
  }
  // The candidate returns as after a cold start, without the latency that led
  // to its ejection.
  Server.RampFrom = Now;
  Server.Samples = 0;
  Server.ProbeAt = TimePoint{};
  if (isActive(Server)) {
    State.Ejected -= State.Ejected > 0 ? 1 : 0;
    State.FailureSum += Server.Health.FailureRate - Before;
  }
}

void postponeTrial(RouteState &State, Candidate &Server, TimePoint Now) {
  Server.Health.Phase = HealthPhase::Ejected;
  Server.Health.NextTrialAt = Now + State.Options.Outlier.FirstBackOff;
}

void recountEjected(RouteState &State) {
  std::vector<std::uint32_t> EjectedPositions;
  State.FailureSum = 0;
  for (const std::uint32_t Position : State.Active) {
    const Candidate &Server = State.Candidates[Position];
    State.FailureSum += Server.Health.FailureRate;
    if (Server.Health.Phase != HealthPhase::Healthy) {
      EjectedPositions.push_back(Position);
    }
  }
  std::sort(EjectedPositions.begin(), EjectedPositions.end(),
            [&](std::uint32_t A, std::uint32_t B) {
              return State.Candidates[A].Health.NextTrialAt >
                     State.Candidates[B].Health.NextTrialAt;
            });
  while (EjectedPositions.size() > State.Active.size() / 2) {
    Candidate &Server = State.Candidates[EjectedPositions.back()];
    State.FailureSum -= Server.Health.FailureRate;
    readmit(Server.Health);
    EjectedPositions.pop_back();
  }
  State.Ejected = static_cast<std::uint32_t>(EjectedPositions.size());
}

} // namespace magnolia::policy::internal
