#include "policy/probe/next_probe.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

// Maximum number of candidates searched for the oldest load report.
constexpr std::size_t MaxSamples = 8;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void refill(ProbeBudget &Budget, TimePoint Now) {
  if (Budget.Since == TimePoint{}) {
    Budget.Since = Now;
    Budget.FilledAt = Now;
    Budget.Tokens = Budget.Options.Cap;
    return;
  }
  if (Now <= Budget.FilledAt) {
    return;
  }
  Budget.Tokens +=
      Budget.Options.FloorPerSecond * seconds(Now - Budget.FilledAt);
  Budget.Tokens = std::min(Budget.Tokens, Budget.Options.Cap);
  Budget.FilledAt = Now;
}

const Candidate *oldestReport(const RouteState &State, RandomEngine &Random) {
  const std::size_t Count = State.Active.size();
  const std::size_t Samples = std::min(Count, MaxSamples);
  if (Samples == 0) {
    return nullptr;
  }
  const Candidate *Oldest = nullptr;
  std::size_t Position = Random() % Count;
  for (std::size_t I = 0; I < Samples; ++I, Position = (Position + 1) % Count) {
    const Candidate &Server = State.Candidates[State.Active[Position]];
    if (Oldest == nullptr || Server.ReportAt < Oldest->ReportAt) {
      Oldest = &Server;
    }
  }
  return Oldest;
}

} // namespace

void recordRequest(ProbeBudget &Budget, TimePoint Now) {
  refill(Budget, Now);
  ++Budget.Requests;
  Budget.Tokens = std::min(Budget.Tokens + Budget.Options.Ratio,
                           std::max(Budget.Options.Cap, Budget.Options.Ratio));
}

std::optional<NodeId> nextProbe(ProbeBudget &Budget, const RouteState &State,
                                TimePoint Now, RandomEngine &Random) {
  refill(Budget, Now);
  const Candidate *Oldest = oldestReport(State, Random);
  if (Oldest == nullptr || (Oldest->ReportAt != TimePoint{} &&
                            Now - Oldest->ReportAt < Budget.Options.FreshFor)) {
    return std::nullopt;
  }
  if (Budget.Tokens < 1) {
    ++Budget.Refused;
    return std::nullopt;
  }
  Budget.Tokens -= 1;
  ++Budget.Probes;
  return Oldest->Spec.Node;
}

Duration untilNextProbe(const ProbeBudget &Budget, TimePoint Now) {
  if (Budget.Since == TimePoint{} || Budget.Tokens >= 1) {
    return Duration{0};
  }
  if (Budget.Options.FloorPerSecond <= 0) {
    return Duration::max();
  }
  const std::chrono::duration<double> Wait((1 - Budget.Tokens) /
                                           Budget.Options.FloorPerSecond);
  const auto At = Budget.FilledAt + std::chrono::duration_cast<Duration>(Wait);
  return std::max(At - Now, Duration{0});
}

double probesAllowed(const ProbeBudget &Budget, TimePoint Now) {
  const double Elapsed = Budget.Since == TimePoint{}
                             ? 0
                             : std::max(0.0, seconds(Now - Budget.Since));
  return Budget.Options.Cap +
         Budget.Options.Ratio * static_cast<double>(Budget.Requests) +
         Budget.Options.FloorPerSecond * Elapsed;
}

} // namespace magnolia::policy
