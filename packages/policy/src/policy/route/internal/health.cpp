#include "policy/route/internal/health.h"

#include "policy/outlier/eject.h"

#include <algorithm>

namespace magnolia::policy::internal {

namespace {

LatencyEvidence evidenceOf(const RouteState &State, const Candidate &Next,
                           TimePoint Now) {
  // The network time to another zone is no fault of the candidate.
  const Duration Distance = Next.Spec.Distance;
  const std::int64_t Ages =
      (Now.time_since_epoch() - Distance).count() * Next.InFlight -
      Next.StartSum;
  return {.Latency = Next.Latency,
          .Samples = Next.Samples,
          .Reported = Next.Report.Latency,
          .Open = Next.InFlight,
          .OpenAges = Duration{Ages},
          .ProbeAge = Next.ProbeAt == TimePoint{}
                          ? Duration{0}
                          : Now - Next.ProbeAt - Distance,
          .Median = State.Median};
}

double peerFailureRate(const RouteState &State, const Candidate &Next) {
  const std::size_t Peers = State.Active.size();
  if (Peers < 2) {
    return 1;
  }
  const double Sum = State.FailureSum - Next.Health.FailureRate;
  return std::max(0.0, Sum) / static_cast<double>(Peers - 1);
}

} // namespace

bool isActive(const Candidate &Next) {
  return !Next.Spec.ZoneOut && !Next.Spec.Draining;
}

void examine(RouteState &State, Candidate &Next, TimePoint Now) {
  if (Next.Health.Phase != HealthPhase::Healthy || !isActive(Next)) {
    return;
  }
  const OutlierOptions &Options = State.Options.Outlier;
  const LatencyEvidence Evidence = evidenceOf(State, Next, Now);
  if (!isOverdue(Evidence, Options) && !isSlow(Evidence, Options) &&
      !isFailing(Next.Health, peerFailureRate(State, Next), Options)) {
    return;
  }
  if (!mayEject(State.Active.size(), State.Ejected)) {
    ++State.Counters.EjectionsRefused;
    return;
  }
  eject(Next.Health, Options, Now);
  ++State.Ejected;
  ++State.Counters.Ejections;
}

void countResult(RouteState &State, Candidate &Next, bool Failed) {
  const float Before = Next.Health.FailureRate;
  recordResult(Next.Health, Failed);
  if (isActive(Next)) {
    State.FailureSum += Next.Health.FailureRate - Before;
  }
}

void concludeTrial(RouteState &State, Candidate &Next, bool Good,
                   TimePoint Now) {
  const float Before = Next.Health.FailureRate;
  endTrial(Next.Health, Good, State.Options.Outlier, Now);
  if (Next.Health.Phase != HealthPhase::Healthy) {
    return;
  }
  // The candidate comes back as after a cold start, without the latency that
  // led to its ejection.
  Next.RampFrom = Now;
  Next.Samples = 0;
  Next.ProbeAt = TimePoint{};
  if (isActive(Next)) {
    State.Ejected -= State.Ejected > 0 ? 1 : 0;
    State.FailureSum += Next.Health.FailureRate - Before;
  }
}

void postponeTrial(RouteState &State, Candidate &Next, TimePoint Now) {
  Next.Health.Phase = HealthPhase::Ejected;
  Next.Health.Until = Now + State.Options.Outlier.FirstBackOff;
}

void recount(RouteState &State) {
  std::vector<std::uint32_t> Out;
  State.FailureSum = 0;
  for (const std::uint32_t At : State.Active) {
    const Candidate &Next = State.Candidates[At];
    State.FailureSum += Next.Health.FailureRate;
    if (Next.Health.Phase != HealthPhase::Healthy) {
      Out.push_back(At);
    }
  }
  std::sort(Out.begin(), Out.end(), [&](std::uint32_t A, std::uint32_t B) {
    return State.Candidates[A].Health.Until > State.Candidates[B].Health.Until;
  });
  while (Out.size() > State.Active.size() / 2) {
    Candidate &Next = State.Candidates[Out.back()];
    State.FailureSum -= Next.Health.FailureRate;
    readmit(Next.Health);
    Out.pop_back();
  }
  State.Ejected = static_cast<std::uint32_t>(Out.size());
}

} // namespace magnolia::policy::internal
