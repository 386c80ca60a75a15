#include "policy/config/push_targets.h"
#include "policy/config/apply.h"
#include "policy/config/exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<Member> threeZones(std::size_t PerZone) {
  std::vector<Member> Fleet;
  for (std::size_t I = 0; I < 3 * PerZone; ++I) {
    Member Record;
    Record.Node = hashOf(std::to_string(I));
    Record.Zone = "zone-";
    Record.Zone += std::to_string(I / PerZone);
    Fleet.push_back(Record);
  }
  return Fleet;
}

std::size_t watchers(const std::vector<Member> &Fleet, std::string_view Zone) {
  return static_cast<std::size_t>(
      std::count_if(Fleet.begin(), Fleet.end(), [&](const Member &Record) {
        return Record.Zone == Zone && isLive(Record) &&
               isWatcher(Record, Fleet);
      }));
}

struct WatcherCase {
  const char *GuardsAgainst;
  void (*Change)(std::vector<Member> &);
  std::size_t Expected;
};

const WatcherCase WatcherCases[] = {
    {"all nodes of a zone reading the store", [](std::vector<Member> &) {}, 2},
    {"a zone without watchers after both failed",
     [](std::vector<Member> &Fleet) {
       const std::vector<Member> Before = Fleet;
       for (std::size_t I = 0; I < 4; ++I) {
         Fleet[I].State = isWatcher(Before[I], Before)
                              ? MemberState::Unreachable
                              : MemberState::Alive;
       }
     },
     2},
    {"a zone whose only node does not read the store",
     [](std::vector<Member> &Fleet) {
       for (std::size_t I = 1; I < 4; ++I) {
         Fleet[I].State = MemberState::Left;
       }
     },
     1},
};

TEST(ConfigWatchers, FaultCases) {
  for (const WatcherCase &Case : WatcherCases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    std::vector<Member> Fleet = threeZones(4);
    Case.Change(Fleet);
    EXPECT_EQ(watchers(Fleet, "zone-0"), Case.Expected);
  }
}

// Guards against pushes to failed nodes, to the sender itself or twice to the
// same node, and against a forwarding node that pushes to other zones.
TEST(ConfigPush, TargetsAreLiveAndDistinct) {
  RandomEngine Random(3);
  std::vector<Member> Fleet = threeZones(6);
  Fleet[1].State = MemberState::Unreachable;
  for (int I = 0; I < 200; ++I) {
    const bool Origin = I % 2 == 0;
    const auto Targets =
        pushTargets(Fleet[0], Fleet, {.Origin = Origin}, Random);
    std::map<NodeId, int> Seen;
    std::size_t Remote = 0;
    for (const Member &Target : Targets) {
      EXPECT_EQ(++Seen[Target.Node], 1);
      EXPECT_NE(Target.Node, Fleet[0].Node);
      EXPECT_NE(Target.Node, Fleet[1].Node);
      Remote += Target.Zone == "zone-0" ? 0 : 1;
    }
    EXPECT_EQ(Remote, Origin ? 2U : 0U);
    EXPECT_EQ(Targets.size() - Remote, 3U);
  }
}

// One node of the propagation run.
struct Node {
  ConfigTable Table;
  bool Paused = false;
  std::map<std::string, std::uint64_t> Seen;
};

struct Push {
  std::size_t To;
  ConfigEntry Entry;
};

// Simulation of nodes that push entries to each other and repair differences by
// digests, in virtual time, with lost, delayed and repeated messages.
struct PropagationRun {
  RandomEngine Random;
  std::vector<Member> Fleet = threeZones(5);
  std::vector<Node> Nodes = std::vector<Node>(15);
  std::multimap<TimePoint, Push> InFlight;
  TimePoint Now;
  double Loss = 0.1;
  std::size_t Reverts = 0;
};

void applyAndForward(PropagationRun &Run, std::size_t Index,
                     const ConfigEntry &Entry, bool Origin) {
  if (!apply(Run.Nodes[Index].Table, Entry)) {
    return;
  }
  auto &Seen = Run.Nodes[Index].Seen[Entry.Key];
  Run.Reverts += Entry.Revision < Seen ? 1 : 0;
  Seen = Entry.Revision;
  for (const Member &Target : pushTargets(Run.Fleet[Index], Run.Fleet,
                                          {.Origin = Origin}, Run.Random)) {
    const auto To = static_cast<std::size_t>(
        std::find(Run.Fleet.begin(), Run.Fleet.end(), Target) -
        Run.Fleet.begin());
    std::uniform_real_distribution<double> Chance(0.0, 1.0);
    const int Copies = Chance(Run.Random) < 0.1 ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      if (Chance(Run.Random) >= Run.Loss) {
        const milliseconds Delay{1 + static_cast<int>(Run.Random() % 200)};
        Run.InFlight.emplace(Run.Now + Delay, Push{To, Entry});
      }
    }
  }
}

void exchange(PropagationRun &Run, std::size_t Left, std::size_t Right) {
  ConfigTable &Mine = Run.Nodes[Left].Table;
  ConfigTable &Theirs = Run.Nodes[Right].Table;
  if (Run.Nodes[Right].Paused || digest(Mine) == digest(Theirs)) {
    return;
  }
  const auto Response = diff(Theirs, revisions(Mine));
  for (const ConfigEntry &Entry : Response.Newer) {
    applyAndForward(Run, Left, Entry, false);
  }
  for (const ConfigEntry &Entry : missingFrom(Mine, Response.Wanted)) {
    applyAndForward(Run, Right, Entry, false);
  }
}

void advanceTime(PropagationRun &Run, Duration Time) {
  const TimePoint End = Run.Now + Time;
  for (; Run.Now < End; Run.Now += milliseconds{100}) {
    while (!Run.InFlight.empty() && Run.InFlight.begin()->first <= Run.Now) {
      const auto Item = Run.InFlight.extract(Run.InFlight.begin());
      if (!Run.Nodes[Item.mapped().To].Paused) {
        applyAndForward(Run, Item.mapped().To, Item.mapped().Entry, false);
      }
    }
    // Each node compares about one digest per second, as the pings carry them.
    for (std::size_t I = 0; I < Run.Nodes.size(); ++I) {
      if (!Run.Nodes[I].Paused && Run.Random() % 10 == 0) {
        exchange(Run, I, Run.Random() % Run.Nodes.size());
      }
    }
  }
}

// Guards against a zone that still receives requests 3 s after it was taken out
// of service, a change that is not in effect on all nodes of a fleet of this
// size within 5 s, and message orders that revert a change.
TEST(ConfigPropagation, RandomEvents) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    PropagationRun Run;
    Run.Random.seed(Seed);
    for (std::uint64_t Revision = 1; Revision <= 40; ++Revision) {
      Node &Any = Run.Nodes[Run.Random() % Run.Nodes.size()];
      Any.Paused = !Any.Paused;
      if (Run.Random() % 8 == 0) {
        Run.Nodes[Run.Random() % Run.Nodes.size()] = Node{};
      }
      std::string Key = "moves/";
      Key += std::to_string(Run.Random() % 4);
      applyAndForward(Run, Run.Random() % Run.Nodes.size(),
                      {.Key = Key,
                       .Revision = Revision,
                       .Value = "x",
                       .Tombstone = Run.Random() % 5 == 0},
                      true);
      advanceTime(Run, milliseconds{Run.Random() % 1'000});
    }
    for (Node &One : Run.Nodes) {
      One.Paused = false;
    }
    applyAndForward(
        Run, 0, {.Key = "zones/zone-1", .Revision = 100, .Value = "out"}, true);
    advanceTime(Run, seconds{3});
    for (const Node &One : Run.Nodes) {
      EXPECT_NE(find(One.Table, "zones/zone-1"), nullptr);
    }
    advanceTime(Run, seconds{2});
    for (const Node &One : Run.Nodes) {
      EXPECT_EQ(digest(One.Table), digest(Run.Nodes[0].Table));
    }
    EXPECT_EQ(Run.Reverts, 0U);
  }
}

} // namespace
} // namespace magnolia::policy
