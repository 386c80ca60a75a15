#include "policy/route/feedback.h"

#include "policy/outlier/eject.h"
#include "policy/route/internal/health.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

constexpr int LatencyWeight = 8;
constexpr float OthersInFlightWeight = 0.1F;
constexpr float ObservedLimitGrowth = 0.1F;
// Number of responses between two computations of the median.
constexpr std::size_t MedianInterval = 8;

Candidate *findDispatched(RouteState &State, const Dispatch &Sent) {
  const auto Found = State.Index.find(Sent.Node);
  if (Found == State.Index.end()) {
    return nullptr;
  }
  Candidate &Server = State.Candidates[Found->second];
  return Server.Spec.Run == Sent.Run ? &Server : nullptr;
}

void endDispatch(Candidate &Server, const Dispatch &Sent) {
  if (Server.InFlight > 0) {
    --Server.InFlight;
    Server.StartTimeSum -= Sent.Start.time_since_epoch().count();
  }
}

void updateLatency(Candidate &Server, Duration Latency, TimePoint Now) {
  ++Server.Samples;
  const auto Divisor = std::min<std::int64_t>(Server.Samples, LatencyWeight);
  Server.Latency = Server.Samples == 1
                       ? Latency
                       : Server.Latency + (Latency - Server.Latency) / Divisor;
  Server.LatencyAt = Now;
}

void updateMedian(RouteState &State, Duration Latency) {
  State.Window[State.WindowCount % RouteState::LatencyWindow] = Latency;
  ++State.WindowCount;
  if (State.WindowCount % MedianInterval != 0) {
    return;
  }
  const auto Count = std::min(State.WindowCount, RouteState::LatencyWindow);
  auto Sorted = State.Window;
  const auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Count / 2);
  std::nth_element(Sorted.begin(), Middle,
                   Sorted.begin() + static_cast<std::ptrdiff_t>(Count));
  State.Median = *Middle;
}

void applyReport(Candidate &Server, const LoadReport &Load, TimePoint Now) {
  const bool Restarted =
      Server.Report.Run != 0 && Load.Run != 0 && Server.Report.Run != Load.Run;
  if (Restarted) {
    Server.Samples = 0;
    Server.ObservedLimit = 0;
    Server.RampFrom = Now;
  }
  Server.Report = Load;
  Server.ReportAt = Now;
  Server.ProbeAt = TimePoint{};
  Server.InFlightAtReport = Server.InFlight;
  const float OthersInFlight =
      std::max(0.0F, static_cast<float>(Load.InFlight + Load.Waiting) -
                         static_cast<float>(Server.InFlight));
  Server.OthersInFlight +=
      OthersInFlightWeight * (OthersInFlight - Server.OthersInFlight);
}

// A rejection shows that the server was full even if its load report shows free
// slots.
void lowerObservedLimit(Candidate &Server) {
  Server.ObservedLimit = std::max(1.0F, static_cast<float>(Server.InFlight));
}

void raiseObservedLimit(Candidate &Server) {
  if (Server.ObservedLimit <= 0) {
    return;
  }
  Server.ObservedLimit += ObservedLimitGrowth;
  if (Server.ObservedLimit >= static_cast<float>(Server.Report.Limit)) {
    Server.ObservedLimit = 0;
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
  Candidate &Server = State.Candidates[Found->second];
  if (isTrialDue(Server.Health, Now)) {
    beginTrial(Server.Health);
    ++State.Counters.Trials;
  }
  ++Server.InFlight;
  Server.StartTimeSum += Now.time_since_epoch().count();
  return {.Node = Node, .Run = Server.Spec.Run, .Start = Now};
}

void onResponse(RouteState &State, const Dispatch &Sent,
                const ResponseInfo &Response, TimePoint Now) {
  Candidate *Server = findDispatched(State, Sent);
  if (Server == nullptr) {
    return;
  }
  endDispatch(*Server, Sent);
  if (Response.Load) {
    applyReport(*Server, *Response.Load, Now);
  }
  const Duration Latency = Now - Sent.Start - Server->Spec.Distance;
  const OutlierOptions &Options = State.Options.Outlier;
  if (Server->Health.Phase == HealthPhase::Trial) {
    const auto Slow =
        static_cast<double>(State.Median.count()) * Options.TrialFactor;
    const bool Good =
        !Response.Faulty &&
        (Latency < Options.MinSlowLatency || State.Median.count() == 0 ||
         static_cast<double>(Latency.count()) < Slow);
    internal::finishTrial(State, *Server, Good, Now);
    return;
  }
  if (Server->Health.Phase == HealthPhase::Ejected) {
    return;
  }
  internal::countResult(State, *Server, Response.Faulty);
  // Latencies of faulty responses are ignored: a server that fails fast must
  // not look like a fast server.
  if (!Response.Faulty) {
    updateLatency(*Server, Latency, Now);
    updateMedian(State, Latency);
    raiseObservedLimit(*Server);
  }
  internal::ejectIfOutlier(State, *Server, Now);
}

void onRejection(RouteState &State, const Dispatch &Sent, ErrorKind Kind,
                 const std::optional<LoadReport> &Load, TimePoint Now) {
  Candidate *Server = findDispatched(State, Sent);
  if (Server == nullptr) {
    return;
  }
  endDispatch(*Server, Sent);
  if (Load) {
    applyReport(*Server, *Load, Now);
  }
  const bool ConnectRefused = Kind == ErrorKind::BackendConnectFailed;
  if (ConnectRefused) {
    Server->ConnectFailedAt = Now;
  }
  if (Server->Health.Phase == HealthPhase::Trial) {
    if (ConnectRefused) {
      internal::finishTrial(State, *Server, false, Now);
    } else {
      internal::postponeTrial(State, *Server, Now);
    }
    return;
  }
  if (Kind == ErrorKind::Draining || Kind == ErrorKind::Shutdown) {
    Server->Report.Draining = true;
  } else if ((Kind == ErrorKind::Overloaded || Kind == ErrorKind::ColdStart) &&
             !isFull(Server->Report)) {
    lowerObservedLimit(*Server);
  } else if (ConnectRefused && Server->Health.Phase == HealthPhase::Healthy) {
    internal::countResult(State, *Server, true);
    internal::ejectIfOutlier(State, *Server, Now);
  }
}

void onFailure(RouteState &State, const Dispatch &Sent, ErrorKind Kind,
               TimePoint Now) {
  Candidate *Server = findDispatched(State, Sent);
  if (Server == nullptr) {
    return;
  }
  endDispatch(*Server, Sent);
  if (Server->Health.Phase == HealthPhase::Trial) {
    if (Kind == ErrorKind::Cancelled) {
      internal::postponeTrial(State, *Server, Now);
    } else {
      internal::finishTrial(State, *Server, false, Now);
    }
    return;
  }
  if (Server->Health.Phase == HealthPhase::Ejected) {
    return;
  }
  // The response would have taken longer, so the elapsed time is a lower bound
  // of the latency.
  const Duration Elapsed = Now - Sent.Start - Server->Spec.Distance;
  if (Elapsed > Server->Latency) {
    updateLatency(*Server, Elapsed, Now);
  }
  if (Kind != ErrorKind::Cancelled) {
    internal::countResult(State, *Server, true);
  }
  internal::ejectIfOutlier(State, *Server, Now);
}

void onConnectFailure(RouteState &State, const Dispatch &Sent, TimePoint Now) {
  if (Candidate *Server = findDispatched(State, Sent)) {
    Server->ConnectFailedAt = Now;
  }
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
    applyReport(State.Candidates[Found->second], Load, Now);
  }
}

} // namespace magnolia::policy
