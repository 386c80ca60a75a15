#include "daemon/net/connection_server.h"

#include "../support/slow_client.h"
#include "daemon/net/clock.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/net/socket.h"
#include "policy/core/error.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace magnolia::daemon {
namespace {

constexpr std::chrono::seconds TestTimeout{10};

constexpr std::size_t ResponseBytes = 60'000;

// Server that sends a response on each connection and ends its service at once.
ConnectionServer::Options sendingOptions(std::size_t Maximum,
                                         FiberPool &Fibers) {
  return {.Address = "127.0.0.1",
          .Port = 0,
          .Maximum = Maximum,
          .Serve =
              [](Session &Accepted) {
                (void)sendAll(Accepted.fd(), std::string(ResponseBytes, 'r'),
                              {}, now() + TestTimeout);
              },
          .Refuse = {},
          .Fibers = &Fibers};
}

// Waits until the server has this number of connections.
bool awaitConnections(const ConnectionServer &Server, std::size_t Count) {
  const policy::TimePoint Until = now() + TestTimeout;
  while (Server.connections() != Count && now() < Until) {
    std::this_thread::yield();
  }
  return Server.connections() == Count;
}

// Returns the number of bytes that arrive before the connection ends.
std::size_t receiveAll(int Fd) {
  std::array<char, 4096> Bytes{};
  std::size_t Sum = 0;
  for (;;) {
    const auto Count = ::recv(Fd, Bytes.data(), Bytes.size(), 0);
    if (Count <= 0) {
      return Sum;
    }
    Sum += static_cast<std::size_t>(Count);
  }
}

// Guards against input that arrives after the service of a connection has ended
// and cuts what was sent on it, also between nodes.
TEST(ConnectionServer, LateInputDoesNotCutTheOutput) {
  FiberPool Fibers(1, {});
  policy::Error LastError;
  ConnectionServer Server(sendingOptions(8, Fibers));
  ASSERT_TRUE(Server.start(LastError)) << LastError.Detail;
  const UniqueFd Client = test::connectWithSmallWindow(Server.port());
  EXPECT_FALSE(test::isReset(Client.fd()));
  EXPECT_TRUE(sendAll(Client.fd(), "late", {}, now() + TestTimeout));
  EXPECT_FALSE(test::isReset(Client.fd()));
  EXPECT_EQ(receiveAll(Client.fd()), ResponseBytes);
}

// Guards against a stop that clients can prolong by reading slowly.
TEST(ConnectionServer, SlowReadersDoNotProlongAStop) {
  constexpr int Clients = 100;
  FiberPool Fibers(1, {});
  policy::Error LastError;
  std::vector<UniqueFd> Slow;
  policy::TimePoint Deadline;
  {
    ConnectionServer Server(sendingOptions(Clients, Fibers));
    ASSERT_TRUE(Server.start(LastError)) << LastError.Detail;
    for (int I = 0; I < Clients; ++I) {
      Slow.push_back(test::connectWithSmallWindow(Server.port()));
    }
    EXPECT_TRUE(awaitConnections(Server, Clients));
    Server.stopAccepting();
    Deadline = now() + test::ResetTime;
    EXPECT_FALSE(Server.drain(Deadline));
  }
  EXPECT_LT(now(), Deadline + std::chrono::seconds(1));
}

// Guards against connections that are only waited for and keep new ones out.
TEST(ConnectionServer, LingeringConnectionsMakeRoom) {
  constexpr std::size_t Maximum = 4;
  FiberPool Fibers(1, {});
  policy::Error LastError;
  ConnectionServer Server(sendingOptions(Maximum, Fibers));
  ASSERT_TRUE(Server.start(LastError)) << LastError.Detail;
  std::vector<UniqueFd> Open;
  for (std::size_t I = 0; I < 4 * Maximum; ++I) {
    Open.push_back(test::connectWithSmallWindow(Server.port()));
    EXPECT_TRUE(waitReadable(Open.back().fd(), now() + TestTimeout));
  }
  EXPECT_EQ(Server.refused(), 0U);
  EXPECT_TRUE(awaitConnections(Server, Maximum));
}

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
  EXPECT_FALSE(waitReadable(Client.fd(), now() + test::ResetTime));
  Release.set_value();
  std::array<char, 16> Bytes{};
  EXPECT_TRUE(waitReadable(Client.fd(), now() + TestTimeout));
  EXPECT_EQ(receiveSome(Client.fd(), Bytes), 8);
  Stop.join();
  EXPECT_TRUE(Server.drain(now() + TestTimeout));
}

} // namespace
} // namespace magnolia::daemon
