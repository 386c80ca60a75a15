#include "policy/membership/fleet.h"
#include "policy/membership/internal/datagram.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>

namespace magnolia::policy::test {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration SettleTime = seconds{30};

const Member *viewOf(const Fleet &Run, std::size_t Observer,
                     std::size_t Subject) {
  return findMember(Run.Nodes[Observer].State,
                    self(Run.Nodes[Subject].State).Node);
}

MemberState stateOf(const Fleet &Run, std::size_t Observer,
                    std::size_t Subject) {
  const Member *Held = viewOf(Run, Observer, Subject);
  return Held == nullptr ? MemberState::Left : Held->State;
}

struct FaultCase {
  const char *GuardsAgainst;
  FleetOptions Options;
  void (*Steps)(Fleet &);
};

void expectSettled(Fleet &Run) {
  run(Run, SettleTime);
  EXPECT_EQ(wrongViews(Run), 0U);
}

const FaultCase Cases[] = {
    {"a fleet whose members do not find each other through the contacts",
     {},
     [](Fleet &Run) { expectSettled(Run); }},
    {"live members that stay unreachable because datagrams are lost",
     {.Loss = 0.2, .Duplication = 0.1, .MaxDelay = milliseconds{100}},
     [](Fleet &Run) {
       run(Run, minutes{2});
       std::size_t Unreachable = 0;
       for (const FleetNode &Node : Run.Nodes) {
         for (const Member &Held : members(Node.State)) {
           Unreachable += isLive(Held) ? 0 : 1;
         }
       }
       EXPECT_EQ(Unreachable, 0U);
     }},
    {"new requests to a leaving backend server after 3 s",
     {.Loss = 0.1},
     [](Fleet &Run) {
       run(Run, SettleTime);
       announce(Run.Nodes[5].State,
                {.Service = "stock", .Version = "v1", .Draining = true});
       run(Run, seconds{3});
       for (std::size_t I = 0; I < Run.Nodes.size(); ++I) {
         EXPECT_TRUE(viewOf(Run, I, 5)->Draining) << I;
       }
     }},
    {"members with long names that no datagram can hold",
     {},
     [](Fleet &Run) {
       // 1,400 bytes less those of the seal.
       static constexpr std::size_t MaxMessage = 1350;
       const std::string Long(128, 'n');
       Run.Check = [](const Fleet &Now) {
         for (const auto &[At, Sent] : Now.InFlight) {
           EXPECT_LE(internal::encodedSize(Sent.Message), MaxMessage);
         }
       };
       run(Run, SettleTime);
       for (FleetNode &Node : Run.Nodes) {
         announce(Node.State, {.Service = Long, .Version = Long});
       }
       expectSettled(Run);
       EXPECT_EQ(viewOf(Run, 0, 5)->Version, Long);
     }},
    {"a node that has left and is taken for a failed one",
     {},
     [](Fleet &Run) {
       run(Run, SettleTime);
       sendAll(Run, 4, leave(Run.Nodes[4].State, Run.Now, Run.Random));
       run(Run, seconds{3});
       crash(Run, 4);
       run(Run, SettleTime);
       EXPECT_EQ(stateOf(Run, 0, 4), MemberState::Left);
     }},
    {"a crashed member that stays alive, or is forgotten before 24 h",
     {},
     [](Fleet &Run) {
       run(Run, SettleTime);
       crash(Run, 5);
       run(Run, SettleTime);
       EXPECT_EQ(stateOf(Run, 0, 5), MemberState::Unreachable);
       run(Run, hours{1});
       EXPECT_NE(viewOf(Run, 0, 5), nullptr);
     }},
    {"records of dead members that are never removed",
     {.Membership = {.Retention = minutes{2}}},
     [](Fleet &Run) {
       run(Run, SettleTime);
       crash(Run, 5);
       run(Run, minutes{5});
       EXPECT_EQ(viewOf(Run, 0, 5), nullptr);
     }},
    {"the old record of a restarted node that outlives its new incarnation",
     {},
     [](Fleet &Run) {
       run(Run, SettleTime);
       restart(Run, 5, "v2");
       expectSettled(Run);
       EXPECT_EQ(viewOf(Run, 0, 5)->Version, "v2");
     }},
    {"a restarted node that stays unknown because its clock went back",
     {},
     [](Fleet &Run) {
       run(Run, SettleTime);
       Member Record = fleetMember(Run, 5, 10);
       Record.Version = "v2";
       const auto Contacts = Run.Nodes[5].State.Contacts;
       Run.Nodes[5].State = makeMembership(Record, Run.Now);
       addContacts(Run.Nodes[5].State, Contacts);
       expectSettled(Run);
       EXPECT_EQ(viewOf(Run, 0, 5)->Version, "v2");
       EXPECT_GT(self(Run.Nodes[5].State).Run, 1'000U);
     }},
    {"a paused node that suspects the others or restores stale facts",
     {},
     [](Fleet &Run) {
       run(Run, SettleTime);
       pause(Run, 5);
       run(Run, seconds{5});
       restart(Run, 6, "v2");
       announce(Run.Nodes[7].State,
                {.Service = "stock", .Version = "v1", .Draining = true});
       run(Run, SettleTime);
       EXPECT_EQ(stateOf(Run, 0, 5), MemberState::Unreachable);
       const auto Before = Run.Nodes[5].State.Counters.Suspected;
       resume(Run, 5);
       for (int I = 0; I < 600; ++I) {
         run(Run, milliseconds{50});
         EXPECT_EQ(viewOf(Run, 0, 6)->Version, "v2");
         EXPECT_TRUE(viewOf(Run, 0, 7)->Draining);
       }
       EXPECT_EQ(Run.Nodes[5].State.Counters.Suspected, Before);
       EXPECT_EQ(wrongViews(Run), 0U);
     }},
    {"a partitioned zone that is forgotten or not found again",
     {},
     [](Fleet &Run) {
       run(Run, SettleTime);
       Run.Cut[2] = true;
       run(Run, minutes{10});
       EXPECT_EQ(stateOf(Run, 0, 9), MemberState::Unreachable);
       EXPECT_EQ(stateOf(Run, 9, 0), MemberState::Unreachable);
       EXPECT_EQ(stateOf(Run, 9, 8), MemberState::Alive);
       Run.Cut[2] = false;
       run(Run, seconds{60});
       EXPECT_EQ(wrongViews(Run), 0U);
     }},
    {"a node that failed during a partition and is restored with its zone",
     {},
     [](Fleet &Run) {
       run(Run, SettleTime);
       Run.Cut[2] = true;
       run(Run, minutes{2});
       crash(Run, 9);
       Run.Cut[2] = false;
       run(Run, minutes{2});
       EXPECT_EQ(wrongViews(Run), 0U);
     }},
    {"a table that grows without bound",
     {.Membership = {.MaxMembers = 6}},
     [](Fleet &Run) {
       run(Run, SettleTime);
       for (const FleetNode &Node : Run.Nodes) {
         EXPECT_LE(members(Node.State).size(), 6U);
         EXPECT_GT(Node.State.Counters.TableFull, 0U);
       }
     }},
};

TEST(Membership, FaultCases) {
  for (const FaultCase &Case : Cases) {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      SCOPED_TRACE(std::string(Case.GuardsAgainst) + ", seed " +
                   std::to_string(Seed));
      FleetOptions Options = Case.Options;
      Options.Seed = Seed;
      Fleet Run = makeFleet(Options);
      Case.Steps(Run);
    }
  }
}

// Guards against a burst of traffic when a zone reconnects: after the partition
// heals, no node may send more than its steady limit in any second.
TEST(Membership, HealCausesNoTrafficBurst) {
  FleetOptions Options{.Zones = 6, .NodesPerZone = 20};
  Fleet Run = makeFleet(Options);
  run(Run, seconds{60});
  Run.Cut[1] = Run.Cut[4] = true;
  run(Run, minutes{3});
  Run.Cut[1] = Run.Cut[4] = false;
  std::uint64_t Most = 0;
  for (int Second = 0; Second < 60; ++Second) {
    std::vector<std::uint64_t> Before;
    for (const FleetNode &Node : Run.Nodes) {
      Before.push_back(Node.State.Counters.BytesSent);
    }
    run(Run, seconds{1});
    for (std::size_t I = 0; I < Run.Nodes.size(); ++I) {
      Most = std::max(Most, Run.Nodes[I].State.Counters.BytesSent - Before[I]);
    }
  }
  EXPECT_LE(Most, 23'000U);
  EXPECT_EQ(wrongViews(Run), 0U);
}

// Checks that no node replaces a record by an older one.
struct RevertCheck {
  std::map<std::pair<std::size_t, NodeId>, Member> Seen;
  // Incarnation of the observer. A new incarnation starts with an empty table.
  std::map<std::size_t, Incarnation> Runs;
  std::size_t Reverts = 0;
};

void checkReverts(RevertCheck &Check, const Fleet &Run) {
  for (std::size_t I = 0; I < Run.Nodes.size(); ++I) {
    const MembershipState &State = Run.Nodes[I].State;
    if (std::exchange(Check.Runs[I], self(State).Run) != self(State).Run) {
      std::erase_if(Check.Seen,
                    [I](const auto &Item) { return Item.first.first == I; });
    }
    for (const Member &Held : members(State)) {
      const auto [Found, New] = Check.Seen.try_emplace({I, Held.Node}, Held);
      const Member &Last = Found->second;
      if (!New) {
        const bool Older = std::pair(Held.Run, Held.RecordVersion) <
                           std::pair(Last.Run, Last.RecordVersion);
        const bool Resurrected = Held.Run == Last.Run &&
                                 Last.State == MemberState::Left &&
                                 Held.State != MemberState::Left;
        Check.Reverts += Older || Resurrected ? 1 : 0;
      }
      Found->second = Held;
    }
  }
}

std::string versionName(int Number) {
  std::string Name = "v";
  Name += std::to_string(Number);
  return Name;
}

void randomEvent(Fleet &Run, int Number) {
  const std::size_t Node = std::uniform_int_distribution<std::size_t>(
      0, Run.Nodes.size() - 1)(Run.Random);
  const std::size_t Zone = Run.Nodes[Node].Zone;
  switch (std::uniform_int_distribution<int>(0, 6)(Run.Random)) {
  case 0:
    crash(Run, Node);
    break;
  case 1:
  case 2:
    restart(Run, Node, versionName(Number));
    break;
  case 3:
    pause(Run, Node);
    break;
  case 4:
    resume(Run, Node);
    break;
  case 5:
    Run.Cut[Zone] = !Run.Cut[Zone];
    break;
  default:
    if (Run.Nodes[Node].Up && !Run.Nodes[Node].Paused) {
      announce(Run.Nodes[Node].State, {.Service = "stock",
                                       .Version = versionName(Number),
                                       .Draining = Number % 2 == 0});
    }
    break;
  }
}

// Guards against sequences of faults after which views revert to older records
// or do not converge.
TEST(Membership, RandomEvents) {
  for (std::uint64_t Seed = 1; Seed <= 25; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    Fleet Run = makeFleet({.Loss = 0.05,
                           .Duplication = 0.05,
                           .MaxDelay = milliseconds{150},
                           .Seed = Seed});
    RevertCheck Check;
    Run.Check = [&Check](const Fleet &Now) { checkReverts(Check, Now); };
    run(Run, seconds{10});
    for (int Number = 0; Number < 40; ++Number) {
      randomEvent(Run, Number);
      run(Run, milliseconds{
                   std::uniform_int_distribution<int>(100, 8'000)(Run.Random)});
    }
    Run.Cut.assign(Run.Cut.size(), false);
    for (std::size_t I = 0; I < Run.Nodes.size(); ++I) {
      if (Run.Nodes[I].Paused) {
        resume(Run, I);
      }
      // No node can join while all contacts are stopped.
      if (I % Run.Options.NodesPerZone == 0 && !Run.Nodes[I].Up) {
        restart(Run, I, "last");
      }
    }
    Run.Options.Loss = 0.0;
    run(Run, minutes{2});
    EXPECT_EQ(wrongViews(Run), 0U);
    EXPECT_EQ(Check.Reverts, 0U);
  }
}

} // namespace
} // namespace magnolia::policy::test
