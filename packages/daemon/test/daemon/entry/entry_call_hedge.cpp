#include "daemon/entry/entry_call.h"

#include "../support/sidecar_fixture.h"
#include "../support/socket_watch.h"
#include "../support/test_node.h"

#include "policy/hedge/decide_hedge.h"
#include "policy/route/update_candidates.h"

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <future>
#include <numeric>
#include <thread>

namespace magnolia::daemon {
namespace {

using namespace test;
using policy::ErrorKind;
using std::chrono::milliseconds;

constexpr policy::NodeId OwnNode = 7;
constexpr policy::OutlierOptions NeverEject{.MinSlowLatency =
                                                std::chrono::hours(1)};

// An entry node whose requests go to another node first, because the local
// backend server seems far. The local one always has a fresh report.
struct HedgedCall : SidecarFixture {
  void start(ScriptedBackend::Script First, ScriptedBackend::Script Second,
             policy::HedgeOptions Options = {.Percent = 5}) {
    FirstBackend = std::make_unique<ScriptedBackend>(std::move(First));
    FirstNode =
        std::make_unique<TestNode>(nodeSettings(), FirstBackend->port());
    startBackend(std::move(Second));
    Owner = std::make_unique<Entry>(
        EntryOptions{
            .Node = OwnNode,
            .Run = SmallLimits.Run,
            .FenceTimeout = TestTimeout,
            .Services = {.Route = {.FarFactor = 1e9, .Outlier = NeverEject}},
            .Hedge = Options,
            .Exchange = {.ResponseBytes = 1024,
                         .PingAfter = TestTimeout,
                         .PingTimeout = TestTimeout,
                         .LostAfter = TestTimeout}},
        Entry::Parts{.Views = Views,
                     .Overrides = Overrides,
                     .Responses = Responses,
                     .Peers = Peers,
                     .Own = Own,
                     .Counts = Counts});
    publish();
    Runtime = Owner->Services.find(*Views.current(), "stock", now());
    const std::lock_guard Lock(Runtime->Mutex);
    for (int I = 0; I < 100; ++I) {
      policy::recordHedgeTime(Runtime->Hedges, "/", milliseconds(5), true,
                              now() - 2 * policy::ResponseTimes::SliceLength);
    }
  }

  void publish() {
    const auto &Settings = FirstNode->Running.Settings;
    Service.Name = "stock";
    Service.Backends = {{.Node = FirstNode->Running.Id,
                         .Address = "127.0.0.1",
                         .PeerPort = Settings.PeerPort,
                         .Zone = "a",
                         .Version = "1"},
                        {.Node = OwnNode,
                         .Zone = "b",
                         .Version = SecondVersion,
                         .ZoneDistance = policy::Duration(1)}};
    ClusterView View;
    View.Services["stock"] = std::make_shared<const ServiceView>(Service);
    Views.publish(std::move(View));
  }

  CallResponse call(const char *Method = "GET", int CallerFd = -1,
                    policy::Duration Deadline = TestTimeout) {
    CallRequest Request = request(Method);
    Request.Deadline = now() + Deadline;
    SocketWatch Caller(CallerFd);
    EntryCall Call(*Owner, {.Request = std::move(Request),
                            .Runtime = Runtime,
                            .Route = "/",
                            .RetriesExhausted = false,
                            .Caller = &Caller});
    return Call.run();
  }

  // Waits until a condition holds that another thread brings about.
  template <class Condition> static void await(Condition &&Holds) {
    const policy::TimePoint End = now() + TestTimeout;
    while (!Holds() && now() < End) {
      std::this_thread::yield();
    }
  }

  [[nodiscard]] bool firstIsAnswered() const {
    const std::lock_guard Lock(Runtime->Mutex);
    return policy::findCandidate(Runtime->Route, FirstNode->Running.Id)
               ->InFlight == 0;
  }

  [[nodiscard]] bool firstHasFreeSlots() const {
    return FirstNode->ask("GET /-/dump HTTP/1.1\r\n\r\n")
               .find(R"("admission":{"in_flight":0)") != std::string::npos;
  }

  [[nodiscard]] std::uint64_t count(Counter Which) const {
    return Counts.value(Which);
  }

  [[nodiscard]] std::uint32_t retriesAtOwnSidecar() const {
    const policy::ArrivalWindow Arrivals = Own.admissionState().Arrivals;
    return std::accumulate(Arrivals.Buckets.begin(), Arrivals.Buckets.end(), 0U,
                           [](std::uint32_t Sum, const auto &Bucket) {
                             return Sum + Bucket.Retries;
                           });
  }

  ServiceView Service;
  std::string SecondVersion = "1";
  ViewHolder Views;
  ShareOverrides Overrides;
  ResponseRecorder Responses;
  PeerPool Peers{{.Own = {.Node = OwnNode, .Run = SmallLimits.Run, .Key = Key},
                  .IdleMaximum = 4,
                  .IdleTimeout = TestTimeout,
                  .ConnectTimeout = TestTimeout}};
  std::unique_ptr<ScriptedBackend> FirstBackend;
  std::unique_ptr<TestNode> FirstNode;
  std::unique_ptr<Entry> Owner;
  std::shared_ptr<ServiceRuntime> Runtime;
};

std::string failure() {
  return "HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nfirst";
}

// Guards against a caller that waits for a slow server although another one has
// answered, and against a hedge that the sidecar does not count as a retry.
TEST_F(HedgedCall, SecondCopyAnswersForASlowServer) {
  start([](const std::string &) { return "hang"; },
        [](const std::string &) { return plainResponse("second"); });
  EXPECT_EQ(call().Body, "second");
  EXPECT_EQ(count(Counter::Hedges), 1U);
  EXPECT_EQ(count(Counter::HedgesWon), 1U);
  EXPECT_EQ(count(Counter::Cancels), 1U);
  EXPECT_EQ(retriesAtOwnSidecar(), 1U);
}

// Guards against a second copy that keeps running, or waiting, after the first
// one was answered.
TEST_F(HedgedCall, FirstResponseCancelsTheSecondCopy) {
  start(
      [this](const std::string &) {
        await([this] { return Scripted->Hanging > 0; });
        return plainResponse("first");
      },
      [](const std::string &) { return "hang"; });
  EXPECT_EQ(call().Body, "first");
  EXPECT_EQ(count(Counter::HedgesCancelled), 1U);
  EXPECT_EQ(count(Counter::HedgesWon), 0U);
  await([this] { return Own.admissionState().InFlight == 0; });
  EXPECT_EQ(Own.admissionState().InFlight, 0U);
}

// Guards against a server error passed on while the other copy succeeds.
TEST_F(HedgedCall, ServerErrorWaitsForTheOtherCopy) {
  std::atomic<bool> Reached = false;
  start(
      [&](const std::string &) {
        await([&] { return Reached.load(); });
        return failure();
      },
      [&](const std::string &) {
        Reached = true;
        await([this] { return firstIsAnswered(); });
        return plainResponse("second");
      });
  const CallResponse Response = call();
  EXPECT_EQ(Response.Status, 200);
  EXPECT_EQ(Response.Body, "second");
}

// Guards against a held server error that is lost when the other copy fails.
TEST_F(HedgedCall, HeldServerErrorIsPassedOnIfTheOtherCopyBreaks) {
  std::atomic<bool> Reached = false;
  start(
      [&](const std::string &) {
        await([&] { return Reached.load(); });
        return failure();
      },
      [&](const std::string &) {
        Reached = true;
        await([this] { return firstIsAnswered(); });
        return std::string();
      });
  const CallResponse Response = call();
  EXPECT_EQ(Response.Status, 500);
  EXPECT_EQ(Response.Body, "first");
}

// Guards against two responses to one request, or a response that stays on a
// connection, when both copies are answered together.
TEST_F(HedgedCall, BothAnsweredTogether) {
  std::atomic<int> Reached = 0;
  const auto Both = [&](const std::string &) {
    const int Mine = ++Reached;
    await([&, Mine] { return Reached >= Mine + Mine % 2; });
    return plainResponse("ok");
  };
  start(Both, Both, {.Percent = 20});
  for (int Round = 0; Round < 20; ++Round) {
    {
      const std::lock_guard Lock(Runtime->Mutex);
      Runtime->Hedges.Limit = {};
      Runtime->Hedges.Slow = {};
    }
    // A cancelled copy holds its slot until the backend server has ended it.
    await([this] {
      return Own.admissionState().InFlight == 0 && firstHasFreeSlots();
    });
    EXPECT_EQ(call().Body, "ok");
  }
  EXPECT_EQ(count(Counter::Hedges), 20U);
  await([this] { return Own.admissionState().InFlight == 0; });
  EXPECT_EQ(Own.admissionState().InFlight, 0U);
}

// Guards against copies that run on for a caller that has left.
TEST_F(HedgedCall, BothCopiesAreCancelledWhenTheCallerLeaves) {
  start([](const std::string &) { return "hang"; },
        [](const std::string &) { return "hang"; });
  int Ends[2] = {-1, -1};
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, Ends), 0);
  UniqueFd Caller(Ends[0]);
  const UniqueFd Accepted(Ends[1]);
  auto Response = std::async(std::launch::async,
                             [&] { return call("GET", Accepted.fd()); });
  await([this] { return FirstBackend->Hanging + Scripted->Hanging == 2; });
  Caller.reset();
  EXPECT_EQ(Response.get().Kind, ErrorKind::Cancelled);
  EXPECT_EQ(count(Counter::Cancels), 2U);
  EXPECT_EQ(count(Counter::HedgesCancelled), 1U);
  await([this] { return Own.admissionState().InFlight == 0; });
  EXPECT_EQ(Own.admissionState().InFlight, 0U);
}

// Guards against a copy that the end of the node cuts.
TEST_F(HedgedCall, AStoppingNodeSendsNoHedge) {
  start(
      [this](const std::string &) {
        await([this] { return count(Counter::HedgesRefused) == 1; });
        return plainResponse("first");
      },
      [](const std::string &) { return plainResponse("second"); });
  const policy::TimePoint Now = now();
  Owner->beginStop({.Announced = Now, .End = Now + 4 * TestTimeout});
  EXPECT_EQ(call().Body, "first");
  EXPECT_EQ(count(Counter::Hedges), 0U);
}

// Guards against a hedge that raises the share of a version under rollout.
TEST_F(HedgedCall, NewVersionOfARolloutGetsNoHedge) {
  Service.RolloutId = "r";
  Service.OldVersion = "1";
  Service.NewVersion = SecondVersion = "2";
  start(
      [this](const std::string &) {
        await([this] { return count(Counter::HedgesRefused) == 1; });
        return plainResponse("first");
      },
      [](const std::string &) { return plainResponse("second"); });
  EXPECT_EQ(call().Body, "first");
  EXPECT_EQ(count(Counter::Hedges), 0U);
}

// Guards against hedges of a service whose file forbids them.
TEST_F(HedgedCall, PercentageOfTheServiceReplacesTheSetting) {
  Service.HedgePercent = 0;
  start([](const std::string &) { return "hang"; },
        [](const std::string &) { return plainResponse("second"); });
  EXPECT_EQ(call("GET", -1, milliseconds(100)).Kind,
            ErrorKind::DeadlineExceededUnknown);
  EXPECT_EQ(count(Counter::Hedges), 0U);
}

// Guards against a non-idempotent request that runs twice.
TEST_F(HedgedCall, NonIdempotentRequestIsNotHedged) {
  start([](const std::string &) { return "hang"; },
        [](const std::string &) { return plainResponse("second"); });
  EXPECT_NE(call("POST", -1, milliseconds(100)).Body, "second");
  EXPECT_EQ(count(Counter::Hedges), 0U);
  EXPECT_TRUE(Scripted->requests().empty());
}

// Guards against a change of the hedging by the median for deployments that
// have not set a limit.
TEST_F(HedgedCall, WithoutALimitTheMedianDecidesAsBefore) {
  start([](const std::string &) { return "hang"; },
        [](const std::string &) { return plainResponse("second"); }, {});
  Runtime->Route.Median = milliseconds(1);
  EXPECT_EQ(call().Body, "second");
  EXPECT_EQ(count(Counter::Hedges), 1U);
  EXPECT_EQ(count(Counter::HedgesWon), 0U);
  EXPECT_EQ(retriesAtOwnSidecar(), 0U);
  EXPECT_EQ(Runtime->Hedges.Sent, 0U);
}

// Guards against hedges of a deployment that has not asked for them.
TEST_F(HedgedCall, WithoutALimitNothingIsHedged) {
  start([](const std::string &) { return "hang"; },
        [](const std::string &) { return plainResponse("second"); }, {});
  EXPECT_EQ(call("GET", -1, milliseconds(100)).Kind,
            ErrorKind::DeadlineExceededUnknown);
  EXPECT_EQ(count(Counter::Hedges), 0U);
  EXPECT_EQ(count(Counter::HedgesRefused), 0U);
  EXPECT_EQ(Runtime->Hedges.Requests, 0U);
}

} // namespace
} // namespace magnolia::daemon
