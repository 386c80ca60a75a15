#include "policy/route/choose.h"

#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1)};

// Thirty servers in four zones, as in a large deployment, seen from an entry
// node in the first zone.
struct ManyServers {
  static constexpr NodeId Servers = 30;
  static constexpr std::uint32_t Zones = 4;
  static constexpr std::uint32_t Slots = 8;

  RouteState State;
  RandomEngine Random{7};
  TimePoint Now = Start;
  Error LastError;

  ManyServers() {
    State.Options.FarFactor = 6;
    std::vector<CandidateSpec> Specs;
    for (NodeId Node = 1; Node <= Servers; ++Node) {
      const bool IsLocal = Node % Zones == 0;
      Specs.push_back({.Node = Node,
                       .Run = 1,
                       .Zone = static_cast<std::uint32_t>(Node % Zones),
                       .Version = 1,
                       .Distance = IsLocal ? Duration{0} : milliseconds(3)});
    }
    updateCandidates(State, Specs, Now);
    for (NodeId Node = 1; Node <= Servers; ++Node) {
      report(Node, 0);
    }
  }
  void report(NodeId Node, std::uint32_t InFlight) {
    onReport(State, Node, {.InFlight = InFlight, .Limit = Slots}, Now);
  }
  // Returns the servers in the zone of the entry node.
  static std::vector<NodeId> localServers() {
    std::vector<NodeId> Nodes;
    for (NodeId Node = Zones; Node <= Servers; Node += Zones) {
      Nodes.push_back(Node);
    }
    return Nodes;
  }
  NodeId pick() {
    return choose(State, {}, Now, Random, LastError).value_or(0);
  }
};

// Guards against steady load that goes to other zones although the local zone
// has free servers, because a few random draws missed all of them.
TEST(ChooseOfMany, SteadyLoadStaysInTheLocalZone) {
  ManyServers Test;
  for (int I = 0; I < 1000; ++I) {
    EXPECT_EQ(Test.pick() % ManyServers::Zones, 0U);
  }
}

// Guards against the choice of a full server of the local zone because the one
// with free slots was not drawn.
TEST(ChooseOfMany, LastFreeServerOfTheLocalZoneIsFound) {
  ManyServers Test;
  constexpr NodeId Free = 12;
  for (const NodeId Node : Test.localServers()) {
    Test.report(Node, Node == Free ? 2 : ManyServers::Slots);
  }
  for (int I = 0; I < 1000; ++I) {
    EXPECT_EQ(Test.pick(), Free);
  }
}

// Guards against servers of the local zone that count as full long after they
// rejected a request during a slowdown. Steady load would then go to other
// zones.
TEST(ChooseOfMany, ServerThatRejectedAsSlowIsNotFull) {
  ManyServers Test;
  for (const NodeId Node : Test.localServers()) {
    const Dispatch Sent = onDispatch(Test.State, Node, Test.Now);
    onRejection(Test.State, Sent, ErrorKind::SlowInstance,
                LoadReport{.InFlight = 2,
                           .Limit = ManyServers::Slots,
                           .WorkTimePercent = 400},
                Test.Now);
  }
  Test.Now += milliseconds(300);
  for (int I = 0; I < 1000; ++I) {
    EXPECT_EQ(Test.pick() % ManyServers::Zones, 0U);
  }
}

// Guards against requests for a server that has just reported a fourfold
// slowdown.
TEST(ChooseOfMany, RecentlySlowedServersAreAvoided) {
  ManyServers Test;
  constexpr NodeId NotSlowed = 12;
  for (const NodeId Node : Test.localServers()) {
    if (Node != NotSlowed) {
      onReport(Test.State, Node,
               {.Limit = ManyServers::Slots, .WorkTimePercent = 400}, Test.Now);
    }
  }
  Test.report(NotSlowed, 4);
  Test.Now += milliseconds(20);
  for (int I = 0; I < 1000; ++I) {
    EXPECT_EQ(Test.pick(), NotSlowed);
  }
}

// Guards against a burst that waits in a full local zone while other zones have
// free capacity.
TEST(ChooseOfMany, LoadSpillsOverOnceTheLocalZoneIsFull) {
  ManyServers Test;
  for (const NodeId Node : Test.localServers()) {
    Test.report(Node, ManyServers::Slots);
  }
  for (int I = 0; I < 1000; ++I) {
    EXPECT_NE(Test.pick() % ManyServers::Zones, 0U);
  }
}

} // namespace
} // namespace magnolia::policy
