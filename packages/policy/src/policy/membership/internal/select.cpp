#include "policy/membership/internal/select.h"
#include "policy/membership/internal/table.h"

#include <algorithm>
#include <random>

namespace magnolia::policy::internal {

namespace {

constexpr std::size_t MaxSamples = 64;

std::size_t randomIndex(const MemberTable &Table, RandomEngine &Random) {
  return std::uniform_int_distribution<std::size_t>(0, Table.Members.size() -
                                                           1)(Random);
}

} // namespace

std::vector<NodeId> randomLive(const MembershipState &State, std::size_t Count,
                               NodeId Excluded, RandomEngine &Random) {
  std::vector<NodeId> Chosen;
  for (std::size_t I = 0; I < MaxSamples && Chosen.size() < Count; ++I) {
    const Member &Other = State.Table.Members[randomIndex(State.Table, Random)];
    const bool Taken =
        std::find(Chosen.begin(), Chosen.end(), Other.Node) != Chosen.end();
    if (isLive(Other) && !Taken && Other.Node != State.Self &&
        Other.Node != Excluded) {
      Chosen.push_back(Other.Node);
    }
  }
  return Chosen;
}

std::optional<NodeId> randomUnreachable(const MembershipState &State,
                                        RandomEngine &Random) {
  for (std::size_t I = 0; I < MaxSamples; ++I) {
    const Member &Other = State.Table.Members[randomIndex(State.Table, Random)];
    if (Other.State == MemberState::Unreachable) {
      return Other.Node;
    }
  }
  return std::nullopt;
}

std::optional<NodeId> nextInRound(MembershipState &State,
                                  RandomEngine &Random) {
  for (int Round = 0; Round < 2; ++Round) {
    while (!State.ProbeOrder.empty()) {
      const NodeId Node = State.ProbeOrder.back();
      State.ProbeOrder.pop_back();
      const auto Index = indexOf(State.Table, Node);
      if (Index && isLive(State.Table.Members[*Index])) {
        return Node;
      }
    }
    for (const Member &Other : State.Table.Members) {
      if (Other.Node != State.Self && isLive(Other)) {
        State.ProbeOrder.push_back(Other.Node);
      }
    }
    std::shuffle(State.ProbeOrder.begin(), State.ProbeOrder.end(), Random);
  }
  return std::nullopt;
}

} // namespace magnolia::policy::internal
