#include "policy/route/update_candidates.h"

#include "policy/route/internal/health.h"

#include <algorithm>
#include <utility>

namespace magnolia::policy {

namespace {

Candidate mergeCandidate(const Candidate *Previous, const CandidateSpec &Spec,
                         bool First, TimePoint Now) {
  Candidate Result;
  if (Previous != nullptr && Previous->Spec.Run == Spec.Run) {
    Result = *Previous;
    if (Previous->Spec.ZoneOut && !Spec.ZoneOut) {
      Result.RampFrom = Now;
      Result.Samples = 0;
    }
  } else if (!First) {
    Result.RampFrom = Now;
  }
  Result.Spec = Spec;
  return Result;
}

void groupActive(RouteState &State) {
  State.Active.clear();
  for (std::uint32_t At = 0; At < State.Candidates.size(); ++At) {
    if (internal::isActive(State.Candidates[At])) {
      State.Active.push_back(At);
    }
  }
  const auto VersionOf = [&](std::uint32_t At) {
    return State.Candidates[At].Spec.Version;
  };
  const auto IsRemote = [&](std::uint32_t At) {
    return State.Candidates[At].Spec.Distance > Duration{0};
  };
  std::stable_sort(State.Active.begin(), State.Active.end(),
                   [&](std::uint32_t A, std::uint32_t B) {
                     return std::pair(VersionOf(A), IsRemote(A)) <
                            std::pair(VersionOf(B), IsRemote(B));
                   });
  State.Groups.clear();
  for (std::uint32_t I = 0; I < State.Active.size(); ++I) {
    const std::uint32_t Version = VersionOf(State.Active[I]);
    if (State.Groups.empty() || State.Groups.back().Version != Version) {
      State.Groups.push_back({.Version = Version, .First = I});
    }
    ++State.Groups.back().Count;
    State.Groups.back().LocalCount += IsRemote(State.Active[I]) ? 0 : 1;
  }
}

} // namespace

void updateCandidates(RouteState &State, std::span<const CandidateSpec> Specs,
                      TimePoint Now) {
  const bool First = State.Candidates.empty();
  const auto Count = std::min(Specs.size(), State.Options.MaxCandidates);
  State.Counters.CandidatesRefused += Specs.size() - Count;
  std::vector<Candidate> Merged;
  std::unordered_map<NodeId, std::uint32_t> Index;
  Merged.reserve(Count);
  Index.reserve(Count);
  for (const CandidateSpec &Spec : Specs.first(Count)) {
    const auto At = static_cast<std::uint32_t>(Merged.size());
    if (Index.emplace(Spec.Node, At).second) {
      Merged.push_back(
          mergeCandidate(findCandidate(State, Spec.Node), Spec, First, Now));
    }
  }
  State.Candidates = std::move(Merged);
  State.Index = std::move(Index);
  groupActive(State);
  internal::recountEjected(State);
}

const Candidate *findCandidate(const RouteState &State, NodeId Node) {
  const auto Found = State.Index.find(Node);
  return Found == State.Index.end() ? nullptr
                                    : &State.Candidates[Found->second];
}

} // namespace magnolia::policy
