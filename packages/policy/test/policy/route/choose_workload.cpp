#include "policy/route/choose.h"

#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(10)};
constexpr RouteQuery Other{.WorkloadAware = true};
constexpr RouteQuery Upload{.LargeBody = true, .WorkloadAware = true};

// One server in the own zone and others elsewhere, seen from an entry node.
struct OneLocal {
  static constexpr NodeId Local = 1;

  RouteState State;
  RandomEngine Random;
  TimePoint Now = Start;
  Error LastError;

  explicit OneLocal(NodeId Servers = 8, std::uint64_t Seed = 3) : Random(Seed) {
    State.Options.FarFactor = 6;
    std::vector<CandidateSpec> Specs;
    for (NodeId Node = 1; Node <= Servers; ++Node) {
      Specs.push_back(
          {.Node = Node,
           .Run = 1,
           .Distance = Node == Local ? Duration{0} : milliseconds(4)});
    }
    updateCandidates(State, Specs, Now);
  }
  void report(NodeId Node, std::uint32_t LinkUse) {
    onReport(State, Node, {.Limit = 9, .LinkUsePercent = LinkUse}, Now);
  }
  std::optional<NodeId> pick(const RouteQuery &Query) {
    return choose(State, Query, Now, Random, LastError);
  }
  void failConnect(NodeId Node) {
    const Dispatch Sent = onDispatch(State, Node, Now);
    onConnectFailure(State, Sent, Now);
    onFailure(State, Sent, ErrorKind::BackendConnectFailed, Now);
  }
  int localOf(int Count, const RouteQuery &Query) {
    int Found = 0;
    for (int I = 0; I < Count; ++I) {
      Found += pick(Query) == Local ? 1 : 0;
    }
    return Found;
  }
};

// Random state of an entry node: reports, requests in flight, failures and
// ejections.
OneLocal randomState(std::uint64_t Seed) {
  RandomEngine Draw(Seed);
  OneLocal Test(2 + Draw() % 40, Seed);
  for (int I = 0; I < 60; ++I) {
    Test.Now += milliseconds(Draw() % 100);
    const NodeId Node = 1 + Draw() % Test.State.Candidates.size();
    const Dispatch Sent = onDispatch(Test.State, Node, Test.Now);
    const LoadReport Load{.InFlight = static_cast<std::uint32_t>(Draw() % 10),
                          .Limit = 9,
                          .Latency =
                              std::chrono::microseconds(Draw() % 300'000)};
    switch (Draw() % 4) {
    case 0:
      break;
    case 1:
      onFailure(Test.State, Sent, ErrorKind::BackendConnectFailed, Test.Now);
      break;
    case 2:
      onRejection(Test.State, Sent, ErrorKind::Overloaded, Load, Test.Now);
      break;
    default:
      onResponse(Test.State, Sent, {.Load = Load},
                 Test.Now + milliseconds(130));
    }
  }
  return Test;
}

// Gives the candidates a use of the link and failed connection attempts.
void addWorkload(OneLocal &Test, std::uint64_t Seed) {
  RandomEngine Draw(Seed);
  for (Candidate &Server : Test.State.Candidates) {
    Server.Report.LinkUsePercent = static_cast<std::uint32_t>(Draw() % 120);
    Server.ConnectFailedAt =
        Draw() % 2 == 0 ? Test.Now - milliseconds(Draw() % 800) : TimePoint{};
  }
}

// Guards against a deployment without these rules whose choices change, or
// whose random engine is used differently.
TEST(ChooseWorkload, NothingChangesWhileTheRulesAreOff) {
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
    OneLocal Plain = randomState(Seed);
    OneLocal Loaded = randomState(Seed);
    addWorkload(Loaded, Seed);
    for (int I = 0; I < 20; ++I) {
      const bool LargeBody = I % 2 == 0;
      ASSERT_EQ(Plain.pick({}), Loaded.pick({.LargeBody = LargeBody}));
      ASSERT_EQ(Plain.Random, Loaded.Random);
    }
    EXPECT_EQ(Loaded.State.Counters.LinkBusy, 0U);
    EXPECT_EQ(Loaded.State.Counters.ConnectFailed, 0U);
  }
}

// Guards against requests of other kinds that avoid a candidate because of
// uploads, or that use the random engine for it.
TEST(ChooseWorkload, LinkUseConcernsLargeBodiesOnly) {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    OneLocal Plain = randomState(Seed);
    OneLocal Busy = randomState(Seed);
    for (Candidate &Server : Busy.State.Candidates) {
      Server.Report.LinkUsePercent = 200;
    }
    for (int I = 0; I < 20; ++I) {
      ASSERT_EQ(Plain.pick(Other), Busy.pick(Other));
      ASSERT_EQ(Plain.Random, Busy.Random);
    }
  }
}

// Guards against entry nodes that all switch at the same use of the link, and
// against uploads to a saturated one.
TEST(ChooseWorkload, ShareOfUploadsFallsWithTheUseOfTheLink) {
  const std::pair<std::uint32_t, int> Expected[] = {
      {0, 1000}, {50, 1000}, {60, 750}, {70, 500},
      {80, 250}, {90, 0},    {150, 0}};
  for (const auto &[Use, Share] : Expected) {
    OneLocal Test;
    Test.report(OneLocal::Local, Use);
    EXPECT_NEAR(Test.localOf(1000, Upload), Share, Share % 1000 ? 60 : 0)
        << Use << " percent";
  }
}

// Guards against the use of the link of a node whose reports stopped.
TEST(ChooseWorkload, OldReportCountsAsAnIdleLink) {
  OneLocal Test;
  Test.report(OneLocal::Local, 200);
  Test.Now += milliseconds(1'000);
  EXPECT_EQ(Test.localOf(100, Upload), 0);
  Test.Now += milliseconds(1);
  EXPECT_EQ(Test.localOf(100, Upload), 100);
}

// Load pattern: a link is saturated and its node accepts no connections; each
// attempt takes the connect timeout of 250 ms. Guards against an entry node
// that tries the same server several times in a row before it is ejected.
TEST(ChooseWorkload, ServerThatAcceptsNoConnectionGetsOneAttempt) {
  for (const bool Aware : {false, true}) {
    OneLocal Test;
    int Attempts = 0;
    for (int I = 0; I < 3; ++I) {
      const auto Node = Test.pick({.WorkloadAware = Aware});
      if (Node == OneLocal::Local) {
        ++Attempts;
        Test.Now += milliseconds(250);
        Test.failConnect(*Node);
      }
      Test.Now += milliseconds(100);
    }
    EXPECT_EQ(Attempts, Aware ? 1 : 3);
  }
}

// Guards against a server that is avoided for longer, and against a refusal by
// the backend server that is not noticed because its sidecar responds.
TEST(ChooseWorkload, RefusedConnectionCountsForHalfASecond) {
  OneLocal Test;
  const Dispatch Sent = onDispatch(Test.State, OneLocal::Local, Test.Now);
  onRejection(Test.State, Sent, ErrorKind::BackendConnectFailed,
              LoadReport{.Limit = 9}, Test.Now);
  Test.Now += milliseconds(499);
  EXPECT_EQ(Test.localOf(100, Other), 0);
  EXPECT_EQ(Test.State.Counters.ConnectFailed, 100U);
  Test.Now += milliseconds(1);
  EXPECT_EQ(Test.localOf(100, Other), 100);
}

// Guards against a node whose own link failed and which then prefers a server
// by the order of its failures, and against uploads that ignore the load while
// all links are busy.
TEST(ChooseWorkload, AllFullIsChosenAsBefore) {
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
    OneLocal Plain = randomState(Seed);
    if (Plain.State.Candidates.size() > Plain.State.Options.MaxFullScan) {
      // Random samples of a larger set differ from one scan to the next.
      continue;
    }
    OneLocal Failed = randomState(Seed);
    OneLocal Busy = randomState(Seed);
    RandomEngine Draw(Seed);
    for (std::size_t I = 0; I < Plain.State.Candidates.size(); ++I) {
      for (OneLocal *Test : {&Plain, &Failed, &Busy}) {
        // Distinct times to a response and no ejections, so that the choice
        // does not depend on the order of the scan.
        Test->State.Options.Outlier = {.MinSlowLatency = std::chrono::hours(1),
                                       .ConsecutiveFailures = 1000,
                                       .FailureRate = 2};
        Candidate &Server = Test->State.Candidates[I];
        Server.ReportAt = Server.LatencyAt = Test->Now;
        Server.Latency = milliseconds(10 + I);
        Server.Samples = 1;
        Server.Health = {};
      }
      Failed.State.Candidates[I].ConnectFailedAt =
          Failed.Now - milliseconds(Draw() % 500);
      Busy.State.Candidates[I].Report.LinkUsePercent =
          static_cast<std::uint32_t>(90 + Draw() % 100);
    }
    const auto Expected = Plain.pick({});
    EXPECT_EQ(Failed.pick(Other), Expected);
    EXPECT_EQ(Failed.pick(Upload), Expected);
    EXPECT_EQ(Busy.pick(Upload), Expected);
  }
}

// Guards against a scan of many full candidates that finds the same best one in
// each entry node, where a few random samples were chosen from before.
TEST(ChooseWorkload, ManyFullAreSampledAsBefore) {
  constexpr NodeId Servers = 40;
  constexpr NodeId Best = 2;
  constexpr NodeId Skipped[] = {OneLocal::Local};
  for (const bool Fails : {false, true}) {
    OneLocal Test(Servers);
    for (Candidate &Server : Test.State.Candidates) {
      Server.Report.Limit = 9;
      Server.Report.Latency = milliseconds(100 + Server.Spec.Node);
      Server.Report.LinkUsePercent = Fails ? 0 : 200;
      Server.ReportAt = Test.Now;
      Server.ConnectFailedAt = Fails ? Test.Now : TimePoint{};
    }
    int Plain = 0;
    int Ruled = 0;
    for (int I = 0; I < 3000; ++I) {
      Plain += Test.pick({.Excluded = Skipped}) == Best ? 1 : 0;
      Ruled += Test.pick({.LargeBody = true,
                          .WorkloadAware = true,
                          .Excluded = Skipped}) == Best
                   ? 1
                   : 0;
    }
    EXPECT_LT(Plain, 1000);
    EXPECT_NEAR(Ruled, Plain, 100);
  }
}

} // namespace
} // namespace magnolia::policy
