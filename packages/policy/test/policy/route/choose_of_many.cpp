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

// Thirty servers in four zones, as in the grown deployments, seen from an entry
// node of the first zone.
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
      const bool Near = Node % Zones == 0;
      Specs.push_back({.Node = Node,
                       .Run = 1,
                       .Zone = static_cast<std::uint32_t>(Node % Zones),
                       .Version = 1,
                       .Distance = Near ? Duration{0} : milliseconds(3)});
    }
    updateCandidates(State, Specs, Now);
    for (NodeId Node = 1; Node <= Servers; ++Node) {
      report(Node, 0);
    }
  }
  void report(NodeId Node, std::uint32_t InFlight) {
    onReport(State, Node, {.InFlight = InFlight, .Limit = Slots}, Now);
  }
  // Servers in the zone of the entry node.
  static std::vector<NodeId> near() {
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

// Guards against steady load that crosses zones while the own zone has free
// servers, only because a few random draws missed all of them.
TEST(ChooseOfMany, ManyServersKeepSteadyLoadInTheOwnZone) {
  ManyServers Test;
  for (int I = 0; I < 1000; ++I) {
    EXPECT_EQ(Test.pick() % ManyServers::Zones, 0U);
  }
}

// Guards against a full server of the own zone that is chosen because the one
// with free slots was not drawn.
TEST(ChooseOfMany, ManyServersFindTheLastFreeServerOfTheOwnZone) {
  ManyServers Test;
  constexpr NodeId Free = 12;
  for (const NodeId Node : Test.near()) {
    Test.report(Node, Node == Free ? 2 : ManyServers::Slots);
  }
  for (int I = 0; I < 1000; ++I) {
    EXPECT_EQ(Test.pick(), Free);
  }
}

// Guards against servers of the own zone that count as full for long after they
// passed a request on in a slow spell: steady load would leave the zone.
TEST(ChooseOfMany, ServerThatPassedARequestOnIsNotFull) {
  ManyServers Test;
  for (const NodeId Node : Test.near()) {
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

// Guards against requests for a server that has just said that work takes four
// times as long there.
TEST(ChooseOfMany, FreshSlowSpellIsAvoided) {
  ManyServers Test;
  constexpr NodeId Usual = 12;
  for (const NodeId Node : Test.near()) {
    if (Node != Usual) {
      onReport(Test.State, Node,
               {.Limit = ManyServers::Slots, .WorkTimePercent = 400}, Test.Now);
    }
  }
  Test.report(Usual, 4);
  Test.Now += milliseconds(20);
  for (int I = 0; I < 1000; ++I) {
    EXPECT_EQ(Test.pick(), Usual);
  }
}

// Guards against a burst in one zone that waits there while others have room.
TEST(ChooseOfMany, ManyServersSpillOverOnceTheOwnZoneIsFull) {
  ManyServers Test;
  for (const NodeId Node : Test.near()) {
    Test.report(Node, ManyServers::Slots);
  }
  for (int I = 0; I < 1000; ++I) {
    EXPECT_NE(Test.pick() % ManyServers::Zones, 0U);
  }
}

} // namespace
} // namespace magnolia::policy
