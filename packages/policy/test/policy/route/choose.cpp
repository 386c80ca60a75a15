#include "policy/route/choose.h"

#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <functional>
#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1)};
constexpr std::uint32_t OldVersion = 1;
constexpr std::uint32_t NewVersion = 2;

// Four candidates; the fourth has the new version.
std::vector<CandidateSpec> specs() {
  std::vector<CandidateSpec> Specs;
  for (NodeId Node = 1; Node <= 4; ++Node) {
    Specs.push_back({.Node = Node,
                     .Run = 1,
                     .Version = Node == 4 ? NewVersion : OldVersion});
  }
  return Specs;
}

struct Fixture {
  RouteState State;
  RandomEngine Random{5};
  TimePoint Now = Start;
  Error LastError;

  Fixture() { updateCandidates(State, specs(), Now); }

  std::optional<NodeId> pick(const RouteQuery &Query = {}) {
    return choose(State, Query, Now, Random, LastError);
  }
  // Sends a request that takes so long.
  void serve(NodeId Node, Duration Latency, bool Faulty = false) {
    const Dispatch Sent = onDispatch(State, Node, Now);
    Now += Latency;
    onAnswer(State, Sent, {.Load = LoadReport{.Limit = 8}, .Faulty = Faulty},
             Now);
  }
  void warmUp() {
    for (int I = 0; I < 32; ++I) {
      serve(1 + I % 4, milliseconds(5));
    }
  }
  // Requests that each candidate gets of the next Count ones.
  std::array<int, 5> spread(int Count, const RouteQuery &Query = {}) {
    std::array<int, 5> Counts{};
    for (int I = 0; I < Count; ++I) {
      ++Counts[pick(Query).value_or(0)];
    }
    return Counts;
  }
};

struct RouteCase {
  const char *Guards;
  std::function<void(Fixture &)> Prepare;
  // Candidates that must get nothing, as bits.
  unsigned Never;
};

void change(Fixture &Test, const std::function<void(CandidateSpec &)> &Edit) {
  auto Specs = specs();
  for (CandidateSpec &Spec : Specs) {
    Edit(Spec);
  }
  updateCandidates(Test.State, Specs, Test.Now);
}

const RouteCase Cases[] = {
    {"new work for a zone out of service",
     [](Fixture &Test) {
       change(Test, [](CandidateSpec &Spec) { Spec.ZoneOut = Spec.Node < 3; });
     },
     0b00110},
    {"new work for a leaving server",
     [](Fixture &Test) {
       change(Test,
              [](CandidateSpec &Spec) { Spec.Draining = Spec.Node == 2; });
     },
     0b00100},
    {"new work for a server whose sidecar says it leaves",
     [](Fixture &Test) {
       onReport(Test.State, 3, {.Limit = 8, .Draining = true}, Test.Now);
     },
     0b01000},
    {"work for a full server while others are free",
     [](Fixture &Test) {
       onReport(Test.State, 1, {.InFlight = 8, .Limit = 8}, Test.Now);
     },
     0b00010},
    {"work for a cold server at its limit",
     [](Fixture &Test) {
       onReport(Test.State, 1, {.InFlight = 1, .Limit = 1, .ColdStart = true},
                Test.Now);
     },
     0b00010},
    {"a report of no load that own requests contradict",
     [](Fixture &Test) {
       for (int I = 0; I < 8; ++I) {
         (void)onDispatch(Test.State, 1, Test.Now);
       }
       onReport(Test.State, 1, {.Limit = 8}, Test.Now);
     },
     0b00010},
    {"a report of a large limit that rejections contradict",
     [](Fixture &Test) {
       (void)onDispatch(Test.State, 1, Test.Now);
       onRejection(Test.State, onDispatch(Test.State, 1, Test.Now),
                   ErrorKind::Overloaded, LoadReport{.Limit = 100}, Test.Now);
     },
     0b00010},
    {"a tenfold slowdown",
     [](Fixture &Test) {
       for (int I = 0; I < 12; ++I) {
         Test.serve(2, milliseconds(50));
       }
     },
     0b00100},
    {"a slowdown before any slow response",
     [](Fixture &Test) {
       for (int I = 0; I < 3; ++I) {
         (void)onDispatch(Test.State, 2, Test.Now);
       }
       Test.Now += milliseconds(40);
     },
     0b00100},
    {"a silent node that gets no requests",
     [](Fixture &Test) {
       onProbe(Test.State, 3, Test.Now);
       Test.Now += milliseconds(31);
     },
     0b01000},
    {"fast failures that attract all requests",
     [](Fixture &Test) {
       for (int I = 0; I < 3; ++I) {
         Test.serve(3, Duration(1000), true);
       }
     },
     0b01000},
    {"refused connections that attract all requests",
     [](Fixture &Test) {
       for (int I = 0; I < 3; ++I) {
         onRejection(Test.State, onDispatch(Test.State, 3, Test.Now),
                     ErrorKind::BackendConnectFailed, {}, Test.Now);
       }
     },
     0b01000},
};

TEST(Choose, Faults) {
  for (const RouteCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    Fixture Test;
    Test.warmUp();
    Row.Prepare(Test);
    const auto Counts = Test.spread(200);
    for (NodeId Node = 1; Node <= 4; ++Node) {
      if ((Row.Never >> Node & 1U) != 0) {
        EXPECT_EQ(Counts[Node], 0) << "node " << Node;
      }
    }
    EXPECT_EQ(Counts[0], 0) << "no candidate found";
  }
}

// Guards against a second attempt at the node that has just failed.
TEST(Choose, ExcludedIsNeverChosen) {
  Fixture Test;
  const NodeId Excluded[] = {1, 2, 4};
  EXPECT_EQ(Test.spread(50, {.Excluded = Excluded})[3], 50);
  const NodeId All[] = {1, 2, 3, 4};
  EXPECT_EQ(Test.pick({.Excluded = All}), std::nullopt);
  EXPECT_EQ(Test.LastError.Kind, ErrorKind::NoBackendServer);
}

// Guards against a small share of a bad version that grows, also when the old
// version has no eligible candidate.
TEST(Choose, VersionShareIsKept) {
  Fixture Test;
  const VersionShare Shares[] = {{OldVersion, 0.98}, {NewVersion, 0.02}};
  const int Got = Test.spread(10'000, {.Versions = Shares})[4];
  EXPECT_GT(Got, 120);
  EXPECT_LT(Got, 280);
  change(Test, [](CandidateSpec &Spec) {
    Spec.Draining = Spec.Version == OldVersion;
  });
  EXPECT_LT(Test.spread(10'000, {.Versions = Shares})[4], 280);
  const VersionShare OldOnly[] = {{OldVersion, 1}};
  EXPECT_EQ(Test.pick({.Versions = OldOnly}), std::nullopt);
}

// Guards against a key that runs on two sidecars: neither load nor health nor
// a retry moves a non-idempotent keyed request.
TEST(Choose, KeyStaysWithItsSidecar) {
  Fixture Test;
  Test.warmUp();
  const RouteQuery Keyed{.Key = 42};
  const NodeId Home = Test.pick(Keyed).value();
  for (int I = 0; I < 12; ++I) {
    Test.serve(Home, milliseconds(50), true);
  }
  EXPECT_EQ(Test.pick(Keyed), Home);
  const NodeId Excluded[] = {Home};
  EXPECT_EQ(Test.pick({.Excluded = Excluded, .Key = 42}), std::nullopt);
  const auto Next =
      Test.pick({.Idempotent = true, .Excluded = Excluded, .Key = 42});
  ASSERT_TRUE(Next);
  EXPECT_NE(*Next, Home);
}

// Guards against the ejection of most candidates by a fault that all share.
TEST(Choose, HalfStaysEligible) {
  Fixture Test;
  Test.warmUp();
  for (NodeId Node = 1; Node <= 4; ++Node) {
    for (int I = 0; I < 30; ++I) {
      Test.serve(Node, milliseconds(Node < 4 ? 500 : 5), Node < 3);
    }
  }
  EXPECT_LE(Test.State.Ejected, 2U);
  EXPECT_GT(Test.State.Counters.EjectionsRefused, 0U);
  auto Specs = specs();
  Specs.resize(2);
  updateCandidates(Test.State, Specs, Test.Now);
  EXPECT_LE(Test.State.Ejected, 1U);
  EXPECT_TRUE(Test.pick());
}

// Guards against a flood of requests at an ejected candidate, and against one
// that never comes back.
TEST(Choose, ReadmittedBySingleTrials) {
  Fixture Test;
  Test.warmUp();
  for (int I = 0; I < 3; ++I) {
    Test.serve(3, Duration(1000), true);
  }
  Test.Now += milliseconds(300);
  const RouteQuery Query{.Idempotent = true};
  ASSERT_EQ(Test.pick(Query), 3U);
  const Dispatch Trial = onDispatch(Test.State, 3, Test.Now);
  EXPECT_EQ(Test.spread(100, Query)[3], 0);
  onAnswer(Test.State, Trial, {.Faulty = true}, Test.Now);
  Test.Now += milliseconds(200);
  EXPECT_EQ(Test.spread(100, Query)[3], 0);
  Test.Now += milliseconds(400);
  for (std::uint32_t I = 0; I < Test.State.Options.Outlier.TrialsToReadmit;
       ++I) {
    ASSERT_EQ(Test.pick(Query), 3U);
    Test.serve(3, milliseconds(5));
  }
  EXPECT_EQ(Test.State.Ejected, 0U);
}

// Guards against a returned zone, a new run or a readmitted candidate that gets
// its full share at once.
TEST(Choose, ReturnedZoneRampsUp) {
  Fixture Test;
  Test.warmUp();
  const auto Out = [](CandidateSpec &Spec) { Spec.ZoneOut = Spec.Node == 1; };
  change(Test, Out);
  change(Test, [](CandidateSpec &) {});
  for (int I = 0; I < 4; ++I) {
    (void)onDispatch(Test.State, Test.pick().value(), Test.Now);
  }
  EXPECT_LE(findCandidate(Test.State, 1)->InFlight, 1U);
  EXPECT_GE(findCandidate(Test.State, 1)->RampFrom, Test.Now);
}

// Guards against feedback of an earlier run that corrupts the counts of the
// next one.
TEST(Choose, FeedbackOfEarlierRunIsIgnored) {
  Fixture Test;
  const Dispatch Sent = onDispatch(Test.State, 2, Test.Now);
  change(Test, [](CandidateSpec &Spec) { Spec.Run = 2; });
  (void)onDispatch(Test.State, 2, Test.Now);
  onFailure(Test.State, Sent, ErrorKind::OutcomeUnknown, Test.Now);
  EXPECT_EQ(findCandidate(Test.State, 2)->InFlight, 1U);
  EXPECT_EQ(findCandidate(Test.State, 2)->Health.Consecutive, 0U);
}

// Guards against a table without bound and an error that hides its reason.
TEST(Choose, BoundsAndReasons) {
  RouteState State;
  State.Options.MaxCandidates = 3;
  updateCandidates(State, specs(), Start);
  EXPECT_EQ(State.Counters.CandidatesRefused, 1U);
  RandomEngine Random(1);
  Error LastError;
  auto Specs = specs();
  for (CandidateSpec &Spec : Specs) {
    Spec.ZoneOut = true;
  }
  updateCandidates(State, Specs, Start);
  EXPECT_EQ(choose(State, {}, Start, Random, LastError), std::nullopt);
  EXPECT_EQ(LastError.Kind, ErrorKind::ZoneOut);
}

// Guards against a request that every server passes on because it is slow now,
// and that ends rejected with slots free: the last one has to take it.
TEST(HasChoice, LastServerHasToTakeTheRequest) {
  Fixture Two;
  const std::vector<CandidateSpec> Specs = {{.Node = 1, .Run = 1},
                                            {.Node = 2, .Run = 1}};
  updateCandidates(Two.State, Specs, Two.Now);
  EXPECT_TRUE(hasChoice(Two.State, {}, 1));
  const std::vector<NodeId> Tried = {1};
  EXPECT_FALSE(hasChoice(Two.State, {.Excluded = Tried}, 2));
  // A version without a share is no choice.
  Fixture Four;
  const std::vector<VersionShare> Old = {{.Version = OldVersion, .Share = 1}};
  const std::vector<NodeId> OldTried = {1, 2};
  EXPECT_FALSE(
      hasChoice(Four.State, {.Excluded = OldTried, .Versions = Old}, 3));
}

// Guards against a bad version that gets more than its share because the old
// one is full: with three attempts, 9% became 25%.
TEST(SharesForRetry, FullServersDoNotRaiseASmallShare) {
  const std::vector<VersionShare> Shares = {
      {.Version = OldVersion, .Share = 0.91},
      {.Version = NewVersion, .Share = 0.09}};
  Fixture F;
  constexpr int Requests = 4000;
  constexpr int Attempts = 3;
  int New = 0;
  for (int I = 0; I < Requests; ++I) {
    std::vector<NodeId> Tried;
    while (Tried.size() < Attempts) {
      const auto Left = Tried.empty() ? Shares : sharesForRetry(Shares);
      const auto Node = F.pick({.Excluded = Tried, .Versions = Left});
      ASSERT_TRUE(Node);
      if (*Node == 4) {
        ++New;
        break;
      }
      // Every server of the old version is full.
      Tried.push_back(*Node);
    }
  }
  EXPECT_LT(New, Requests * 0.11);
}

// Guards against bytes between zones while the own zone bears the work, and
// against a full own zone that keeps requests from free servers elsewhere.
TEST(FarFactor, OwnZoneFirstWhileItBearsTheWork) {
  Fixture F;
  F.State.Options.FarFactor = 6;
  const std::vector<CandidateSpec> Specs = {
      {.Node = 1, .Run = 1},
      {.Node = 2, .Run = 1, .Zone = 1, .Distance = milliseconds(2)}};
  updateCandidates(F.State, Specs, F.Now);
  onReport(F.State, 1, {.InFlight = 5, .Limit = 8}, F.Now);
  onReport(F.State, 2, {.InFlight = 0, .Limit = 8}, F.Now);
  EXPECT_EQ(F.spread(20)[1], 20);
  onReport(F.State, 1, {.InFlight = 8, .Limit = 8}, F.Now);
  EXPECT_EQ(F.spread(20)[2], 20);
}

} // namespace
} // namespace magnolia::policy
