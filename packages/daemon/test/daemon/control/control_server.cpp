#include "daemon/control/control_server.h"

#include "../support/test_node.h"
#include "daemon/control/control_client.h"
#include "daemon/net/fiber_pool.h"
#include "policy/core/error.h"

#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>
#include <wire/control.pb.h>

namespace magnolia::daemon {
namespace {

const std::uint16_t Port = test::freePort();
const std::string Key = "a cluster key of the test";

std::optional<wire::ControlBody> callWith(const std::string &ClusterKey) {
  FiberPool Fibers(1, {});
  ControlClient Client(ClusterKey, 1, Fibers);
  std::promise<std::optional<wire::ControlBody>> Response;
  wire::ControlBody Body;
  Body.mutable_verdict()->set_service("catalogue");
  Client.call({.Address = "127.0.0.1", .Port = Port}, std::move(Body),
              [&Response](std::optional<wire::ControlBody> Result) {
                Response.set_value(std::move(Result));
              });
  return Response.get_future().get();
}

// Guards against a sender without the cluster key that changes membership,
// configuration or a verdict: the handler must not receive its message.
TEST(ControlServer, RefusesAnUnknownSender) {
  int Handled = 0;
  policy::Error LastError;
  FiberPool Fibers(1, {});
  const auto Server = ControlServer::open(
      {.Address = "127.0.0.1", .Port = Port}, Key,
      [&Handled](const wire::ControlBody &Body, const ControlReply &Reply) {
        ++Handled;
        Reply(Body);
        return true;
      },
      Fibers, LastError);
  ASSERT_TRUE(Server) << LastError.Detail;

  EXPECT_FALSE(callWith("another key of sufficient length"));
  EXPECT_EQ(Handled, 0);
  EXPECT_EQ(Server->refused(), 1U);

  const auto Response = callWith(Key);
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response->verdict().service(), "catalogue");
  EXPECT_EQ(Handled, 1);
}

// Guards against a call without a response while the task queue of the control
// thread is full.
TEST(ControlServer, EndsACallThatTheHandlerRefuses) {
  policy::Error LastError;
  FiberPool Fibers(1, {});
  const auto Server = ControlServer::open(
      {.Address = "127.0.0.1", .Port = Port}, Key,
      [](const wire::ControlBody &, const ControlReply &) { return false; },
      Fibers, LastError);
  ASSERT_TRUE(Server) << LastError.Detail;
  EXPECT_FALSE(callWith(Key));
  EXPECT_EQ(Server->refused(), 1U);
}

// Guards against a node that stops late because a fetch with a long timeout is
// in flight to a node that does not respond.
TEST(ControlServer, AStoppedClientCancelsLongCalls) {
  policy::Error LastError;
  FiberPool Fibers(1, {});
  std::vector<ControlReply> Held;
  std::promise<void> Received;
  const auto Server = ControlServer::open(
      {.Address = "127.0.0.1", .Port = Port}, Key,
      [&](const wire::ControlBody &, ControlReply Reply) {
        Held.push_back(std::move(Reply));
        Received.set_value();
        return true;
      },
      Fibers, LastError);
  ASSERT_TRUE(Server) << LastError.Detail;
  const auto Start = std::chrono::steady_clock::now();
  bool Failed = false;
  {
    ControlClient Client(Key, 1, Fibers);
    Client.call(
        {.Address = "127.0.0.1", .Port = Port}, {},
        [&Failed](const std::optional<wire::ControlBody> &Response) {
          Failed = !Response;
        },
        std::chrono::seconds(60));
    Received.get_future().wait();
  }
  EXPECT_TRUE(Failed);
  EXPECT_LT(std::chrono::steady_clock::now() - Start, std::chrono::seconds(30));
  Held.at(0)({});
}

} // namespace
} // namespace magnolia::daemon
