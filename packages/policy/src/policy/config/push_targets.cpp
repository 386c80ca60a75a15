#include "policy/config/push_targets.h"

#include <algorithm>
#include <random>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace magnolia::policy {

namespace {

// Reservoir sample of the members of one zone, drawn uniformly in a single
// pass.
struct Sample {
  std::vector<const Member *> Chosen;
  std::size_t Seen = 0;
};

void offer(Sample &Reservoir, const Member &Candidate, std::size_t Size,
           RandomEngine &Random) {
  ++Reservoir.Seen;
  if (Reservoir.Chosen.size() < Size) {
    Reservoir.Chosen.push_back(&Candidate);
    return;
  }
  const std::size_t Slot =
      std::uniform_int_distribution<std::size_t>(0, Reservoir.Seen - 1)(Random);
  if (Slot < Size) {
    Reservoir.Chosen[Slot] = &Candidate;
  }
}

// Rank among the watchers of a zone. The hash prevents nodes with adjacent
// addresses, which often share a rack, from being the watchers together.
std::uint64_t watcherRank(NodeId Node) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
  const std::uint64_t Mixed = (Node ^ (Node >> 31)) * Multiplier;
  return Mixed ^ (Mixed >> 29);
}

} // namespace

std::vector<Member> pushTargets(const Member &Self,
                                std::span<const Member> Members,
                                const PushOptions &Options,
                                RandomEngine &Random) {
  Sample Local;
  std::unordered_map<std::string_view, Sample> Remote;
  for (const Member &Other : Members) {
    if (Other.Node == Self.Node || !isLive(Other)) {
      continue;
    }
    if (Other.Zone == Self.Zone) {
      offer(Local, Other, Options.LocalFanout, Random);
    } else if (Options.Origin) {
      offer(Remote[Other.Zone], Other, Options.RemoteFanout, Random);
    }
  }
  std::vector<Member> Targets;
  for (const Member *Chosen : Local.Chosen) {
    Targets.push_back(*Chosen);
  }
  for (const auto &[Zone, Reservoir] : Remote) {
    for (const Member *Chosen : Reservoir.Chosen) {
      Targets.push_back(*Chosen);
    }
  }
  return Targets;
}

std::vector<Member> watchersOf(std::span<const Member> Members,
                               std::size_t Count) {
  using Ranked = std::pair<std::uint64_t, const Member *>;
  std::unordered_map<std::string_view, std::vector<Ranked>> Zones;
  for (const Member &Record : Members) {
    if (!isLive(Record) || Record.Draining) {
      continue;
    }
    std::vector<Ranked> &Lowest = Zones[Record.Zone];
    const Ranked Own{watcherRank(Record.Node), &Record};
    Lowest.insert(std::upper_bound(Lowest.begin(), Lowest.end(), Own), Own);
    if (Lowest.size() > Count) {
      Lowest.pop_back();
    }
  }
  std::vector<Member> Watchers;
  for (const auto &[Zone, Lowest] : Zones) {
    for (const auto &[Rank, Record] : Lowest) {
      Watchers.push_back(*Record);
    }
  }
  return Watchers;
}

bool isWatcher(const Member &Self, std::span<const Member> Members,
               std::size_t Count) {
  const std::uint64_t Own = watcherRank(Self.Node);
  std::size_t LowerRanked = 0;
  for (const Member &Other : Members) {
    if (Other.Node != Self.Node && Other.Zone == Self.Zone && isLive(Other) &&
        !Other.Draining && watcherRank(Other.Node) < Own) {
      ++LowerRanked;
    }
  }
  return LowerRanked < Count;
}

} // namespace magnolia::policy
