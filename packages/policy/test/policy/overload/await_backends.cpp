#include "policy/overload/await_backends.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace magnolia::policy {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint NodeStart{100s};

struct Counts {
  int Served = 0;
  int Rejected = 0;
  Duration LongestWait{};
};

// Replays one request every 5 ms in the first second of a node that learns of
// the backend servers after Known.
Counts replay(bool Aware, Duration Known, std::optional<Duration> Objective) {
  struct Waiting {
    TimePoint Since, Until, Look;
  };
  BackendWaits State{.NodeStart = NodeStart};
  Counts Total;
  std::vector<Waiting> Open;
  for (TimePoint Now = NodeStart; Now < NodeStart + 2s; Now += 1ms) {
    const std::size_t Servers = Now >= NodeStart + Known ? 4 : 0;
    std::erase_if(Open, [&](Waiting &Next) {
      if (Now < Next.Look) {
        return false;
      }
      const WaitStep Step =
          nextStep({.Until = Next.Until, .KnownServers = Servers}, Now);
      Next.Look = nextCheck(Next.Until, Now);
      if (Step == WaitStep::Continue) {
        return false;
      }
      endWait(State);
      Total.LongestWait = std::max(Total.LongestWait, Now - Next.Since);
      ++(Step == WaitStep::Forward ? Total.Served : Total.Rejected);
      return true;
    });
    if (Now >= NodeStart + 1s || (Now - NodeStart) % 5ms != 0ms) {
      continue;
    }
    UnservedRequest Request{.Deadline = Now + 2500ms,
                            .KnownServers = Servers,
                            .WorkloadAware = Aware};
    if (Objective) {
      Request.Objective = Now + *Objective;
    }
    if (const auto Until = beginWait(State, Request, Now)) {
      Open.push_back({Now, *Until, nextCheck(*Until, Now)});
    } else {
      ++(Servers > 0 ? Total.Served : Total.Rejected);
    }
  }
  EXPECT_EQ(State.Waiting, 0U);
  return Total;
}

// Guards against the observed rejections of a node that has just started, and
// against waits that cost a request its objective.
TEST(AwaitBackends, ServersThatBecomeKnownInTime) {
  struct Row {
    std::optional<Duration> Objective;
    int Rejected;
    Duration Longest;
  };
  // Without the rule, the 60 requests of the first 300 ms are rejected.
  EXPECT_EQ(replay(false, 300ms, 500ms).Rejected, 60);
  for (const Row &Each : {Row{1000ms, 0, 300ms}, Row{500ms, 30, 150ms},
                          Row{150ms, 51, 45ms}, Row{std::nullopt, 40, 100ms}}) {
    const Counts Got = replay(true, 300ms, Each.Objective);
    EXPECT_EQ(Got.Rejected, Each.Rejected);
    EXPECT_EQ(Got.Served, 200 - Each.Rejected);
    EXPECT_LE(Got.LongestWait, Each.Longest);
  }
}

// Guards against a service without servers whose requests wait longer than they
// may, or wait for ever.
TEST(AwaitBackends, ServiceThatStaysUnknown) {
  const Counts Got = replay(true, 10s, 500ms);
  EXPECT_EQ(Got.Served, 0);
  EXPECT_EQ(Got.Rejected, 200);
  EXPECT_EQ(Got.LongestWait, 150ms);
  // With a long objective, at most 64 wait and none longer than 500 ms.
  EXPECT_EQ(replay(true, 10s, 10s).LongestWait, 500ms);
}

// Guards against waits without one of the conditions.
TEST(AwaitBackends, Limits) {
  const TimePoint Now = NodeStart + 100ms;
  const UnservedRequest Waits{.Deadline = Now + 1s, .WorkloadAware = true};
  BackendWaits State{.NodeStart = NodeStart};
  UnservedRequest Late = Waits;
  Late.Objective = Now - 1ms;
  UnservedRequest Stopping = Waits;
  Stopping.NodeStops = true;
  UnservedRequest Known = Waits;
  Known.KnownServers = 1;
  for (const UnservedRequest &Other : {Late, Stopping, Known}) {
    EXPECT_FALSE(beginWait(State, Other, Now));
  }
  EXPECT_FALSE(beginWait(State, Waits, NodeStart + 2s));
  UnservedRequest Short = Waits;
  Short.Deadline = Now + 30ms;
  EXPECT_EQ(beginWait(State, Short, Now), Short.Deadline);
  for (int I = 1; I < 64; ++I) {
    EXPECT_TRUE(beginWait(State, Waits, Now));
  }
  EXPECT_FALSE(beginWait(State, Waits, Now));
  endWait(State);
  EXPECT_TRUE(beginWait(State, Waits, Now));
}

// Guards against a request that is forwarded although nobody waits for it or
// the node stops.
TEST(AwaitBackends, CallerAndStopGoFirst) {
  const WaitProgress Gone{.KnownServers = 1, .CallerGone = true};
  const WaitProgress Stops{.KnownServers = 1, .NodeStops = true};
  EXPECT_EQ(nextStep(Gone, NodeStart), WaitStep::Cancel);
  EXPECT_EQ(nextStep(Stops, NodeStart), WaitStep::Stop);
}

// Guards against a deployment without the part whose requests wait.
TEST(AwaitBackends, SwitchedOffNeverWaits) {
  RandomEngine Random(1);
  for (int I = 0; I < 10'000; ++I) {
    const auto Ms = [&Random] {
      return std::chrono::milliseconds(Random() % 4000);
    };
    const TimePoint Now = NodeStart + Ms();
    BackendWaits State{.NodeStart = NodeStart};
    const UnservedRequest Request{.Deadline = Now + Ms(),
                                  .Objective = Now + Ms(),
                                  .KnownServers = Random() % 2,
                                  .NodeStops = Random() % 2 == 0};
    EXPECT_FALSE(beginWait(State, Request, Now));
    EXPECT_EQ(State.Waiting, 0U);
  }
}

} // namespace
} // namespace magnolia::policy
