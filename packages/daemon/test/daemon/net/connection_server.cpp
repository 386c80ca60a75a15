#include "daemon/net/connection_server.h"

#include "daemon/net/clock.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/net/socket.h"
#include "policy/core/error.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <future>
#include <thread>

namespace magnolia::daemon {
namespace {

constexpr std::chrono::seconds TestTimeout{10};

// Time for a reset by the stopping server to reach the client.
constexpr std::chrono::milliseconds ResetTime{300};

// Guards against a planned stop under load that resets connections which the
// kernel has established and the server has not accepted yet.
TEST(ConnectionServer, AStopServesTheConnectionsInTheBacklog) {
  FiberPool Fibers(1, {});
  policy::Error LastError;
  ConnectionServer Server(
      {.Address = "127.0.0.1",
       .Port = 0,
       .Maximum = 8,
       .Serve =
           [](const Session &Accepted) {
             std::array<char, 16> Bytes{};
             (void)waitReadable(Accepted.fd(), now() + TestTimeout);
             (void)receiveSome(Accepted.fd(), Bytes);
             (void)sendAll(Accepted.fd(), "response", {}, now() + TestTimeout);
           },
       .Refuse = {},
       .Fibers = &Fibers});
  ASSERT_TRUE(Server.start(LastError)) << LastError.Detail;
  std::promise<void> Busy;
  std::promise<void> Release;
  Fibers.spawn([&] {
    Busy.set_value();
    Release.get_future().wait();
  });
  Busy.get_future().wait();
  const UniqueFd Client =
      connectTcp("127.0.0.1", Server.port(), now() + TestTimeout);
  ASSERT_TRUE(sendAll(Client.fd(), "request", {}, now() + TestTimeout));
  std::thread Stop([&] { Server.stopAccepting(); });
  EXPECT_FALSE(waitReadable(Client.fd(), now() + ResetTime));
  Release.set_value();
  std::array<char, 16> Bytes{};
  EXPECT_TRUE(waitReadable(Client.fd(), now() + TestTimeout));
  EXPECT_EQ(receiveSome(Client.fd(), Bytes), 8);
  Stop.join();
  EXPECT_TRUE(Server.drain(now() + TestTimeout));
}

} // namespace
} // namespace magnolia::daemon
