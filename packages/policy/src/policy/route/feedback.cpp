#include "policy/route/feedback.h"

#include "policy/outlier/eject.h"
#include "policy/route/internal/health.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

constexpr int LatencyWeight = 8;
constexpr float OthersWeight = 0.1F;
constexpr float OwnLimitGrowth = 0.1F;
// Responses between two calculations of the median.
constexpr std::size_t MedianEvery = 8;

Candidate *candidateOf(RouteState &State, const Dispatch &Sent) {
  const auto Found = State.Index.find(Sent.Node);
  if (Found == State.Index.end()) {
    return nullptr;
  }
  Candidate &Next = State.Candidates[Found->second];
  return Next.Spec.Run == Sent.Run ? &Next : nullptr;
}

void endDispatch(Candidate &Next, const Dispatch &Sent) {
  if (Next.InFlight > 0) {
    --Next.InFlight;
    Next.StartSum -= Sent.Start.time_since_epoch().count();
  }
}

void learnLatency(Candidate &Next, Duration Latency, TimePoint Now) {
  ++Next.Samples;
  const auto Divisor = std::min<std::int64_t>(Next.Samples, LatencyWeight);
  Next.Latency = Next.Samples == 1
                     ? Latency
                     : Next.Latency + (Latency - Next.Latency) / Divisor;
  Next.LatencyAt = Now;
}

void learnMedian(RouteState &State, Duration Latency) {
  State.Window[State.WindowCount % RouteState::LatencyWindow] = Latency;
  ++State.WindowCount;
  if (State.WindowCount % MedianEvery != 0) {
    return;
  }
  const auto Count = std::min(State.WindowCount, RouteState::LatencyWindow);
  auto Sorted = State.Window;
  const auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Count / 2);
  std::nth_element(Sorted.begin(), Middle,
                   Sorted.begin() + static_cast<std::ptrdiff_t>(Count));
  State.Median = *Middle;
}

void takeReport(Candidate &Next, const LoadReport &Load, TimePoint Now) {
  const bool Restarted =
      Next.Report.Run != 0 && Load.Run != 0 && Next.Report.Run != Load.Run;
  if (Restarted) {
    Next.Samples = 0;
    Next.OwnLimit = 0;
    Next.RampFrom = Now;
  }
  Next.Report = Load;
  Next.ReportAt = Now;
  Next.ProbeAt = TimePoint{};
  Next.InFlightAtReport = Next.InFlight;
  const float Others =
      std::max(0.0F, static_cast<float>(Load.InFlight + Load.Waiting) -
                         static_cast<float>(Next.InFlight));
  Next.Others += OthersWeight * (Others - Next.Others);
}

// A rejection proves that the server was full, whatever its report says.
void learnFull(Candidate &Next) {
  Next.OwnLimit = std::max(1.0F, static_cast<float>(Next.InFlight));
}

void growOwnLimit(Candidate &Next) {
  if (Next.OwnLimit <= 0) {
    return;
  }
  Next.OwnLimit += OwnLimitGrowth;
  if (Next.OwnLimit >= static_cast<float>(Next.Report.Limit)) {
    Next.OwnLimit = 0;
  }
}

bool isFull(const LoadReport &Load) {
  return Load.Limit > 0 && Load.InFlight >= Load.Limit;
}

} // namespace

Dispatch onDispatch(RouteState &State, NodeId Node, TimePoint Now) {
  const auto Found = State.Index.find(Node);
  if (Found == State.Index.end()) {
    return {.Node = Node, .Start = Now};
  }
  Candidate &Next = State.Candidates[Found->second];
  if (isTrialDue(Next.Health, Now)) {
    beginTrial(Next.Health);
    ++State.Counters.Trials;
  }
  ++Next.InFlight;
  Next.StartSum += Now.time_since_epoch().count();
  return {.Node = Node, .Run = Next.Spec.Run, .Start = Now};
}

void onAnswer(RouteState &State, const Dispatch &Sent, const Answer &Response,
              TimePoint Now) {
  Candidate *Next = candidateOf(State, Sent);
  if (Next == nullptr) {
    return;
  }
  endDispatch(*Next, Sent);
  if (Response.Load) {
    takeReport(*Next, *Response.Load, Now);
  }
  const Duration Latency = Now - Sent.Start - Next->Spec.Distance;
  const OutlierOptions &Options = State.Options.Outlier;
  if (Next->Health.Phase == HealthPhase::Trial) {
    const auto Slow =
        static_cast<double>(State.Median.count()) * Options.TrialFactor;
    const bool Good = !Response.Faulty &&
                      (Latency < Options.MinSlow || State.Median.count() == 0 ||
                       static_cast<double>(Latency.count()) < Slow);
    internal::concludeTrial(State, *Next, Good, Now);
    return;
  }
  if (Next->Health.Phase == HealthPhase::Ejected) {
    return;
  }
  internal::countResult(State, *Next, Response.Faulty);
  // A fault that comes fast must not look like a fast server.
  if (!Response.Faulty) {
    learnLatency(*Next, Latency, Now);
    learnMedian(State, Latency);
    growOwnLimit(*Next);
  }
  internal::examine(State, *Next, Now);
}

void onRejection(RouteState &State, const Dispatch &Sent, ErrorKind Kind,
                 const std::optional<LoadReport> &Load, TimePoint Now) {
  Candidate *Next = candidateOf(State, Sent);
  if (Next == nullptr) {
    return;
  }
  endDispatch(*Next, Sent);
  if (Load) {
    takeReport(*Next, *Load, Now);
  }
  const bool Refused = Kind == ErrorKind::BackendConnectFailed;
  if (Next->Health.Phase == HealthPhase::Trial) {
    if (Refused) {
      internal::concludeTrial(State, *Next, false, Now);
    } else {
      internal::postponeTrial(State, *Next, Now);
    }
    return;
  }
  if (Kind == ErrorKind::Draining || Kind == ErrorKind::Shutdown) {
    Next->Report.Draining = true;
  } else if ((Kind == ErrorKind::Overloaded || Kind == ErrorKind::ColdStart) &&
             !isFull(Next->Report)) {
    learnFull(*Next);
  } else if (Refused && Next->Health.Phase == HealthPhase::Healthy) {
    internal::countResult(State, *Next, true);
    internal::examine(State, *Next, Now);
  }
}

void onFailure(RouteState &State, const Dispatch &Sent, ErrorKind Kind,
               TimePoint Now) {
  Candidate *Next = candidateOf(State, Sent);
  if (Next == nullptr) {
    return;
  }
  endDispatch(*Next, Sent);
  if (Next->Health.Phase == HealthPhase::Trial) {
    if (Kind == ErrorKind::Cancelled) {
      internal::postponeTrial(State, *Next, Now);
    } else {
      internal::concludeTrial(State, *Next, false, Now);
    }
    return;
  }
  if (Next->Health.Phase == HealthPhase::Ejected) {
    return;
  }
  // The response would have come later still: a lower bound of the latency.
  const Duration Elapsed = Now - Sent.Start - Next->Spec.Distance;
  if (Elapsed > Next->Latency) {
    learnLatency(*Next, Elapsed, Now);
  }
  if (Kind != ErrorKind::Cancelled) {
    internal::countResult(State, *Next, true);
  }
  internal::examine(State, *Next, Now);
}

void onProbe(RouteState &State, NodeId Node, TimePoint Now) {
  const auto Found = State.Index.find(Node);
  if (Found == State.Index.end()) {
    return;
  }
  TimePoint &ProbeAt = State.Candidates[Found->second].ProbeAt;
  ProbeAt = ProbeAt == TimePoint{} ? Now : ProbeAt;
}

void onReport(RouteState &State, NodeId Node, const LoadReport &Load,
              TimePoint Now) {
  const auto Found = State.Index.find(Node);
  if (Found != State.Index.end()) {
    takeReport(State.Candidates[Found->second], Load, Now);
  }
}

} // namespace magnolia::policy
