#include "daemon/entry/entry_call.h"

#include "../support/sidecar_fixture.h"
#include "../support/test_node.h"

#include "policy/route/update_candidates.h"

#include <gtest/gtest.h>

#include <memory>

namespace magnolia::daemon {
namespace {

using namespace test;

constexpr policy::NodeId OwnNode = 7;
constexpr policy::NodeId DeadNode = 8;
// A threshold that is never reached, so that only the rule under test applies.
constexpr policy::OutlierOptions NeverEject{.MinSlowLatency =
                                                std::chrono::hours(1),
                                            .ConsecutiveFailures = 1000,
                                            .FailureRate = 2};

// An entry node whose requests go first to a node that does not respond,
// because the local backend server seems far.
struct RefusedConnections : SidecarFixture {
  RefusedConnections() {
    startBackend([](const std::string &) {
      return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    });
    ServiceView Service;
    Service.Name = "stock";
    Service.Backends = {{.Node = DeadNode,
                         .Address = "127.0.0.1",
                         .PeerPort = Port,
                         .Zone = "a",
                         .Version = "1"},
                        {.Node = OwnNode,
                         .Zone = "b",
                         .Version = "1",
                         .ZoneDistance = policy::Duration(1)}};
    ClusterView View;
    View.Services["stock"] = std::make_shared<const ServiceView>(Service);
    Views.publish(std::move(View));
    Runtime = Owner.Services.find(*Views.current(), "stock", now());
  }

  // Returns the number of connections that the request opened without success.
  std::uint64_t refusedOf(CallRequest Request, bool Aware) {
    const std::uint64_t Before = Counts.value(Counter::PeerConnectFailures);
    EntryCall Call(Owner, {.Request = std::move(Request),
                           .Runtime = Runtime,
                           .Route = "/",
                           .WorkloadAware = Aware});
    (void)Call.run();
    return Counts.value(Counter::PeerConnectFailures) - Before;
  }
  std::uint64_t refusedOf(int Requests, bool Aware) {
    std::uint64_t Sum = 0;
    for (int I = 0; I < Requests; ++I) {
      Sum += refusedOf(request(), Aware);
    }
    return Sum;
  }

  [[nodiscard]] policy::TimePoint failedAt() const {
    const std::lock_guard Lock(Runtime->Mutex);
    return policy::findCandidate(Runtime->Route, DeadNode)->ConnectFailedAt;
  }

  const std::uint16_t Port = freePort();
  ViewHolder Views;
  ShareOverrides Overrides;
  ResponseRecorder Responses;
  PeerPool Peers{{.ConnectTimeout = std::chrono::milliseconds(100)}};
  Entry Owner{
      {.Node = OwnNode,
       .Run = SmallLimits.Run,
       .Services = {.Route = {.FarFactor = 1e9, .Outlier = NeverEject}}},
      {.Views = Views,
       .Overrides = Overrides,
       .Responses = Responses,
       .Peers = Peers,
       .Own = Own,
       .Counts = Counts}};
  std::shared_ptr<ServiceRuntime> Runtime;
};

// Guards against an entry node that tries a sidecar again and again which
// accepts no connections.
TEST_F(RefusedConnections, FollowingRequestsPreferAnotherSidecar) {
  EXPECT_EQ(refusedOf(3, true), 1U);
}

// Guards against a deployment that does not ask for the rule and is served
// differently.
TEST_F(RefusedConnections, NothingChangesWhileTheRuleIsOff) {
  EXPECT_EQ(refusedOf(3, false), 3U);
}

// Guards against a request with little time left that marks a sidecar as
// unreachable, and against a connect timeout that does not.
TEST_F(RefusedConnections, DeadlineSaysNothingAboutTheSidecar) {
  policy::Error LastError;
  // Nobody accepts connections from its queue, so the handshake does not end.
  const UniqueFd Silent = listenTcp("127.0.0.1", Port, LastError);
  ASSERT_TRUE(Silent.valid());
  CallRequest Late = request();
  Late.Deadline = now() + std::chrono::milliseconds(20);
  EXPECT_EQ(refusedOf(std::move(Late), true), 1U);
  EXPECT_EQ(failedAt(), policy::TimePoint{});
  EXPECT_EQ(refusedOf(1, true), 1U);
  EXPECT_NE(failedAt(), policy::TimePoint{});
}

// Guards against uploads that the entry node does not recognise, and against
// downloads that are treated as uploads.
TEST_F(RefusedConnections, UploadsAvoidABusyLink) {
  for (const bool IsUpload : {true, false}) {
    {
      const std::lock_guard Lock(Runtime->Mutex);
      policy::onReport(Runtime->Route, DeadNode,
                       {.Limit = 9, .LinkUsePercent = 100}, now());
    }
    CallRequest Request = request(IsUpload ? "PUT" : "GET");
    Request.Bulk = true;
    EXPECT_EQ(refusedOf(std::move(Request), true), IsUpload ? 0U : 1U);
  }
}

} // namespace
} // namespace magnolia::daemon
