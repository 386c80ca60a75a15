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
  // Sends a request and receives its response after Latency.
  void completeRequest(NodeId Node, Duration Latency, bool Faulty = false) {
    const Dispatch Sent = onDispatch(State, Node, Now);
    Now += Latency;
    onResponse(State, Sent, {.Load = LoadReport{.Limit = 8}, .Faulty = Faulty},
               Now);
  }
  void warmUp() {
    for (int I = 0; I < 32; ++I) {
      completeRequest(1 + I % 4, milliseconds(5));
    }
  }
  // Returns how many of the next Count requests each candidate gets; index 0
  // counts requests without a candidate.
  std::array<int, 5> countChoices(int Count, const RouteQuery &Query = {}) {
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
  // Bit mask of the candidates that must get no request.
  unsigned Never;
};

void updateSpecs(Fixture &Test,
                 const std::function<void(CandidateSpec &)> &Edit) {
  auto Specs = specs();
  for (CandidateSpec &Spec : Specs) {
    Edit(Spec);
  }
  updateCandidates(Test.State, Specs, Test.Now);
}

const RouteCase Cases[] = {
    {"a new request for a zone out of service",
     [](Fixture &Test) {
       updateSpecs(Test,
                   [](CandidateSpec &Spec) { Spec.ZoneOut = Spec.Node < 3; });
     },
     0b00110},
    {"a new request for a draining server",
     [](Fixture &Test) {
       updateSpecs(Test,
                   [](CandidateSpec &Spec) { Spec.Draining = Spec.Node == 2; });
     },
     0b00100},
    {"a new request for a server whose sidecar reports draining",
     [](Fixture &Test) {
       onReport(Test.State, 3, {.Limit = 8, .Draining = true}, Test.Now);
     },
     0b01000},
    {"a request for a full server while others are free",
     [](Fixture &Test) {
       onReport(Test.State, 1, {.InFlight = 8, .Limit = 8}, Test.Now);
     },
     0b00010},
    {"a request for a cold server at its limit",
     [](Fixture &Test) {
       onReport(Test.State, 1, {.InFlight = 1, .Limit = 1, .ColdStart = true},
                Test.Now);
     },
     0b00010},
    {"a report of no load despite requests of this entry node in flight",
     [](Fixture &Test) {
       for (int I = 0; I < 8; ++I) {
         (void)onDispatch(Test.State, 1, Test.Now);
       }
       onReport(Test.State, 1, {.Limit = 8}, Test.Now);
     },
     0b00010},
    {"a report of a large limit despite rejections",
     [](Fixture &Test) {
       (void)onDispatch(Test.State, 1, Test.Now);
       onRejection(Test.State, onDispatch(Test.State, 1, Test.Now),
                   ErrorKind::Overloaded, LoadReport{.Limit = 100}, Test.Now);
     },
     0b00010},
    {"a tenfold slowdown",
     [](Fixture &Test) {
       for (int I = 0; I < 12; ++I) {
         Test.completeRequest(2, milliseconds(50));
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
    {"a node without requests that does not respond to probes",
     [](Fixture &Test) {
       onProbe(Test.State, 3, Test.Now);
       Test.Now += milliseconds(31);
     },
     0b01000},
    {"fast failures that attract all requests",
     [](Fixture &Test) {
       for (int I = 0; I < 3; ++I) {
         Test.completeRequest(3, Duration(1000), true);
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
    const auto Counts = Test.countChoices(200);
    for (NodeId Node = 1; Node <= 4; ++Node) {
      if ((Row.Never >> Node & 1U) != 0) {
        EXPECT_EQ(Counts[Node], 0) << "node " << Node;
      }
    }
    EXPECT_EQ(Counts[0], 0) << "no candidate found";
  }
}

// Guards against a retry that goes to a node which has already failed.
TEST(Choose, ExcludedIsNeverChosen) {
  Fixture Test;
  const NodeId Excluded[] = {1, 2, 4};
  EXPECT_EQ(Test.countChoices(50, {.Excluded = Excluded})[3], 50);
  const NodeId All[] = {1, 2, 3, 4};
  EXPECT_EQ(Test.pick({.Excluded = All}), std::nullopt);
  EXPECT_EQ(Test.LastError.Kind, ErrorKind::NoBackendServer);
}

// Guards against a small share of a bad version that grows, including when the
// old version has no eligible candidate.
TEST(Choose, VersionShareIsKept) {
  Fixture Test;
  const VersionShare Shares[] = {{OldVersion, 0.98}, {NewVersion, 0.02}};
  const int Got = Test.countChoices(10'000, {.Versions = Shares})[4];
  EXPECT_GT(Got, 120);
  EXPECT_LT(Got, 280);
  updateSpecs(Test, [](CandidateSpec &Spec) {
    Spec.Draining = Spec.Version == OldVersion;
  });
  EXPECT_LT(Test.countChoices(10'000, {.Versions = Shares})[4], 280);
  const VersionShare OldOnly[] = {{OldVersion, 1}};
  EXPECT_EQ(Test.pick({.Versions = OldOnly}), std::nullopt);
}

// Guards against a key that runs on two sidecars: neither load nor health nor a
// retry moves a non-idempotent request with a key.
TEST(Choose, KeyStaysOnItsSidecar) {
  Fixture Test;
  Test.warmUp();
  const RouteQuery Keyed{.Key = 42};
  const NodeId Home = Test.pick(Keyed).value();
  for (int I = 0; I < 12; ++I) {
    Test.completeRequest(Home, milliseconds(50), true);
  }
  EXPECT_EQ(Test.pick(Keyed), Home);
  const NodeId Excluded[] = {Home};
  EXPECT_EQ(Test.pick({.Excluded = Excluded, .Key = 42}), std::nullopt);
  const auto Next =
      Test.pick({.Idempotent = true, .Excluded = Excluded, .Key = 42});
  ASSERT_TRUE(Next);
  EXPECT_NE(*Next, Home);
}

// Guards against the ejection of most candidates because of a fault that all
// share.
TEST(Choose, HalfStaysEligible) {
  Fixture Test;
  Test.warmUp();
  for (NodeId Node = 1; Node <= 4; ++Node) {
    for (int I = 0; I < 30; ++I) {
      Test.completeRequest(Node, milliseconds(Node < 4 ? 500 : 5), Node < 3);
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

// Guards against an ejected candidate that gets more than one trial request at
// a time, and against one that is never readmitted.
TEST(Choose, ReadmittedBySingleTrials) {
  Fixture Test;
  Test.warmUp();
  for (int I = 0; I < 3; ++I) {
    Test.completeRequest(3, Duration(1000), true);
  }
  Test.Now += milliseconds(300);
  const RouteQuery Query{.Idempotent = true};
  ASSERT_EQ(Test.pick(Query), 3U);
  const Dispatch Trial = onDispatch(Test.State, 3, Test.Now);
  EXPECT_EQ(Test.countChoices(100, Query)[3], 0);
  onResponse(Test.State, Trial, {.Faulty = true}, Test.Now);
  Test.Now += milliseconds(200);
  EXPECT_EQ(Test.countChoices(100, Query)[3], 0);
  Test.Now += milliseconds(400);
  for (std::uint32_t I = 0; I < Test.State.Options.Outlier.TrialsToReadmit;
       ++I) {
    ASSERT_EQ(Test.pick(Query), 3U);
    Test.completeRequest(3, milliseconds(5));
  }
  EXPECT_EQ(Test.State.Ejected, 0U);
}

// Guards against a candidate that gets its full traffic share as soon as its
// zone returns to service.
TEST(Choose, ReturnedZoneRampsUp) {
  Fixture Test;
  Test.warmUp();
  const auto TakeZoneOut = [](CandidateSpec &Spec) {
    Spec.ZoneOut = Spec.Node == 1;
  };
  updateSpecs(Test, TakeZoneOut);
  updateSpecs(Test, [](CandidateSpec &) {});
  for (int I = 0; I < 4; ++I) {
    (void)onDispatch(Test.State, Test.pick().value(), Test.Now);
  }
  EXPECT_LE(findCandidate(Test.State, 1)->InFlight, 1U);
  EXPECT_GE(findCandidate(Test.State, 1)->RampFrom, Test.Now);
}

// Guards against feedback about an earlier incarnation that corrupts the counts
// of the current one.
TEST(Choose, FeedbackOfEarlierIncarnationIsIgnored) {
  Fixture Test;
  const Dispatch Sent = onDispatch(Test.State, 2, Test.Now);
  updateSpecs(Test, [](CandidateSpec &Spec) { Spec.Run = 2; });
  (void)onDispatch(Test.State, 2, Test.Now);
  onFailure(Test.State, Sent, ErrorKind::OutcomeUnknown, Test.Now);
  EXPECT_EQ(findCandidate(Test.State, 2)->InFlight, 1U);
  EXPECT_EQ(findCandidate(Test.State, 2)->Health.Consecutive, 0U);
}

// Guards against an unbounded set of candidates and against an error that does
// not state the reason.
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

// Guards against a request that is rejected although slots are free, because
// every server rejects it as slow. The last server has to accept it.
TEST(HasChoice, LastServerHasToAcceptTheRequest) {
  Fixture Two;
  const std::vector<CandidateSpec> Specs = {{.Node = 1, .Run = 1},
                                            {.Node = 2, .Run = 1}};
  updateCandidates(Two.State, Specs, Two.Now);
  EXPECT_TRUE(hasChoice(Two.State, {}, 1));
  const std::vector<NodeId> Tried = {1};
  EXPECT_FALSE(hasChoice(Two.State, {.Excluded = Tried}, 2));
  // Candidates of a version without a share do not count.
  Fixture Four;
  const std::vector<VersionShare> Old = {{.Version = OldVersion, .Share = 1}};
  const std::vector<NodeId> OldTried = {1, 2};
  EXPECT_FALSE(
      hasChoice(Four.State, {.Excluded = OldTried, .Versions = Old}, 3));
}

// Guards against a bad version that gets more than its share because the
// servers of the old version are full. When each of three attempts drew a
// version again, 9% became 25%.
TEST(SharesForRetry, FullServersDoNotRaiseASmallShare) {
  const std::vector<VersionShare> Shares = {
      {.Version = OldVersion, .Share = 0.91},
      {.Version = NewVersion, .Share = 0.09}};
  Fixture Test;
  constexpr int Requests = 4000;
  constexpr int Attempts = 3;
  int New = 0;
  for (int I = 0; I < Requests; ++I) {
    std::vector<NodeId> Tried;
    while (Tried.size() < Attempts) {
      const auto Left = Tried.empty() ? Shares : sharesForRetry(Shares);
      const auto Node = Test.pick({.Excluded = Tried, .Versions = Left});
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

// Guards against traffic to other zones while the local zone has capacity, and
// against requests that stay in a full local zone while servers elsewhere are
// free.
TEST(FarFactor, LocalZoneFirstWhileItHasCapacity) {
  Fixture Test;
  Test.State.Options.FarFactor = 6;
  const std::vector<CandidateSpec> Specs = {
      {.Node = 1, .Run = 1},
      {.Node = 2, .Run = 1, .Zone = 1, .Distance = milliseconds(2)}};
  updateCandidates(Test.State, Specs, Test.Now);
  onReport(Test.State, 1, {.InFlight = 5, .Limit = 8}, Test.Now);
  onReport(Test.State, 2, {.InFlight = 0, .Limit = 8}, Test.Now);
  EXPECT_EQ(Test.countChoices(20)[1], 20);
  onReport(Test.State, 1, {.InFlight = 8, .Limit = 8}, Test.Now);
  EXPECT_EQ(Test.countChoices(20)[2], 20);
}

} // namespace
} // namespace magnolia::policy
