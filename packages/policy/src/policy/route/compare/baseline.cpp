#include "policy/route/compare/baseline.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

bool isAllowed(const Candidate &Server, const RouteQuery &Query) {
  return !Server.Report.Draining &&
         std::find(Query.Excluded.begin(), Query.Excluded.end(),
                   Server.Spec.Node) == Query.Excluded.end();
}

// Returns the first usable candidate at or after a position, with wrap-around.
const Candidate *firstUsable(const RouteState &Route, const RouteQuery &Query,
                             std::size_t Start) {
  const std::size_t Count = Route.Active.size();
  for (std::size_t I = 0; I < Count; ++I) {
    const Candidate &Server =
        Route.Candidates[Route.Active[(Start + I) % Count]];
    if (isAllowed(Server, Query)) {
      return &Server;
    }
  }
  return nullptr;
}

const Candidate *leastInFlight(const RouteState &Route, const RouteQuery &Query,
                               std::size_t Start) {
  const std::size_t Count = Route.Active.size();
  const Candidate *Best = nullptr;
  for (std::size_t I = 0; I < Count; ++I) {
    const Candidate &Server =
        Route.Candidates[Route.Active[(Start + I) % Count]];
    if (isAllowed(Server, Query) &&
        (Best == nullptr || Server.InFlight < Best->InFlight)) {
      Best = &Server;
    }
  }
  return Best;
}

bool isUsable(const PooledProbe &Probe, const RouteState &Route,
              const RouteQuery &Query) {
  const auto Found = Route.Index.find(Probe.Node);
  return Found != Route.Index.end() &&
         isAllowed(Route.Candidates[Found->second], Query);
}

std::uint32_t hotThreshold(const ProbePool &Pool) {
  std::vector<std::uint32_t> Loads;
  Loads.reserve(Pool.Probes.size());
  for (const PooledProbe &Probe : Pool.Probes) {
    Loads.push_back(Probe.InFlight);
  }
  const auto Position = static_cast<std::ptrdiff_t>(
      Pool.HotQuantile * static_cast<double>(Loads.size() - 1));
  std::nth_element(Loads.begin(), Loads.begin() + Position, Loads.end());
  return Loads[static_cast<std::size_t>(Position)];
}

// Prefers cold probes to hot ones, among cold probes the lowest latency and
// among hot probes the fewest requests in flight.
bool isBetter(const PooledProbe &Left, const PooledProbe &Right,
              std::uint32_t Threshold) {
  const bool LeftHot = Left.InFlight > Threshold;
  const bool RightHot = Right.InFlight > Threshold;
  if (LeftHot != RightHot) {
    return RightHot;
  }
  return LeftHot ? Left.InFlight < Right.InFlight
                 : Left.Latency < Right.Latency;
}

std::optional<NodeId> choosePooled(ProbePool &Pool, const RouteState &Route,
                                   const RouteQuery &Query, TimePoint Now) {
  std::erase_if(Pool.Probes, [&](const PooledProbe &Probe) {
    return Now - Probe.At > Pool.MaxAge || Probe.Uses >= Pool.MaxUses;
  });
  if (Pool.Probes.empty()) {
    return std::nullopt;
  }
  const std::uint32_t Threshold = hotThreshold(Pool);
  PooledProbe *Best = nullptr;
  for (PooledProbe &Probe : Pool.Probes) {
    if (isUsable(Probe, Route, Query) &&
        (Best == nullptr || isBetter(Probe, *Best, Threshold))) {
      Best = &Probe;
    }
  }
  if (Best == nullptr) {
    return std::nullopt;
  }
  ++Best->Uses;
  ++Best->InFlight;
  return Best->Node;
}

} // namespace

std::optional<NodeId> chooseBaseline(BaselineState &State,
                                     const RouteState &Route,
                                     const RouteQuery &Query, TimePoint Now,
                                     RandomEngine &Random) {
  if (Route.Active.empty()) {
    return std::nullopt;
  }
  const std::size_t Start = Random() % Route.Active.size();
  const Candidate *Found = nullptr;
  switch (State.Kind) {
  case Baseline::Random:
    break;
  case Baseline::RoundRobin:
    Found = firstUsable(Route, Query, State.Next++);
    break;
  case Baseline::LeastInFlight:
    Found = leastInFlight(Route, Query, Start);
    break;
  case Baseline::PooledProbes:
    if (const auto Node = choosePooled(State.Pool, Route, Query, Now)) {
      return Node;
    }
    break;
  }
  if (Found == nullptr) {
    Found = firstUsable(Route, Query, Start);
  }
  return Found == nullptr ? std::nullopt
                          : std::optional<NodeId>(Found->Spec.Node);
}

void addProbe(ProbePool &Pool, NodeId Node, const LoadReport &Load,
              TimePoint Now) {
  if (Pool.Probes.size() >= Pool.MaxProbes) {
    const auto Oldest =
        std::min_element(Pool.Probes.begin(), Pool.Probes.end(),
                         [](const PooledProbe &Left, const PooledProbe &Right) {
                           return Left.At < Right.At;
                         });
    Pool.Probes.erase(Oldest);
  }
  Pool.Probes.push_back({.Node = Node,
                         .InFlight = Load.InFlight + Load.Waiting,
                         .Latency = Load.Latency,
                         .At = Now});
}

} // namespace magnolia::policy
