#include "daemon/control/rollout_runner.h"

#include "../support/test_node.h"
#include "daemon/control/clock.h"
#include "daemon/control/config_runner.h"
#include "daemon/control/control_client.h"
#include "daemon/control/gossip_socket.h"
#include "daemon/control/membership_runner.h"
#include "daemon/control/rollout_breakers.h"
#include "daemon/control/store_worker.h"
#include "daemon/control/task_queue.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/view/share_overrides.h"
#include "policy/core/error.h"
#include "policy/rollout/rollout_request.h"
#include "wire/gossip.pb.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::daemon {
namespace {

constexpr std::size_t QueuedTasks = 64;

policy::Member node() {
  return {.Node = 1,
          .Address = "127.0.0.1",
          .PeerPort = 1,
          .ControlPort = test::freePort(),
          .GossipPort = test::freePort(),
          .HttpPort = 1,
          .Region = "r",
          .Zone = "a",
          .Run = 1};
}

// The only node of a fleet, which serves version 1 and watches the store.
struct RolloutRunnerTest : testing::Test {
  RolloutRunnerTest() {
    Membership.announce({.Service = "stock", .Version = "1"});
  }

  // Runs a tick and returns the keys that were written until its end.
  std::vector<std::string> tick() {
    Runner.tick(steadyNow(), wallNow());
    std::promise<void> Done;
    EXPECT_TRUE(Store.submit(
        [&Done](const store::StoreOperations &) { Done.set_value(); }));
    Done.get_future().wait();
    return Written;
  }

  store::StoreOperations operations() {
    store::StoreOperations Made;
    Made.Put = [this](const store::PutRequest &Request,
                      std::chrono::milliseconds, store::StoreError &) {
      Written.push_back(Request.Key);
      return std::optional<store::Revision>(10);
    };
    Made.Close = [] {};
    return Made;
  }

  const policy::RolloutRequest Request{.Service = "stock",
                                       .ToVersion = "2",
                                       .Window = std::chrono::seconds(60),
                                       .Revision = 5};
  std::vector<std::string> Written;
  policy::Error LastError;
  policy::RandomEngine Random{1};
  TaskQueue Queue{QueuedTasks};
  FiberPool Fibers{1, {}};
  ControlClient Client{test::Key.Bytes, 1, Fibers};
  const policy::Member Self = node();
  std::unique_ptr<GossipSocket> Gossip = GossipSocket::open(
      Self.Address, Self.GossipPort, test::Key,
      [](const wire::GossipDatagram &) {}, LastError);
  MembershipRunner Membership{Self, *Gossip, Client, Queue, Random};
  ConfigRunner Config{Membership, Client, Queue, Random};
  ShareOverrides Overrides;
  RolloutBreakers Breakers{
      Overrides,
      [](const std::string &, const std::string &, const policy::Verdict &) {}};
  StoreWorker Store{operations(), [](const store::WatchResult &) {}, 1};
  RolloutRunner Runner{{.Membership = Membership,
                        .Config = Config,
                        .Breakers = Breakers,
                        .Client = Client,
                        .Queue = Queue,
                        .Store = &Store,
                        .Random = Random}};
};

TEST_F(RolloutRunnerTest, PlansARequest) {
  Runner.onRolloutRequest(Request);
  EXPECT_EQ(tick(), std::vector<std::string>{"moves/stock"});
}

// Guards against a rollout that starts although the operator has withdrawn its
// request.
TEST_F(RolloutRunnerTest, AWithdrawnRequestDoesNotStart) {
  Runner.onRolloutRequest(Request);
  Runner.onRequestWithdrawn("stock");
  EXPECT_TRUE(tick().empty());
}

} // namespace
} // namespace magnolia::daemon
