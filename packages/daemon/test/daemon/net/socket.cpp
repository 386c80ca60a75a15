#include "daemon/net/socket.h"

#include "daemon/net/clock.h"

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace magnolia::daemon {
namespace {

constexpr std::chrono::seconds TestTimeout{10};

// Both ends of a connection on the loopback interface.
struct Pair {
  UniqueFd Local;
  UniqueFd Remote;
};

Pair connectedPair() {
  policy::Error LastError;
  const UniqueFd Listener = listenTcp("127.0.0.1", 0, LastError);
  Pair Made;
  Made.Local =
      connectTcp("127.0.0.1", localPort(Listener.fd()), now() + TestTimeout);
  EXPECT_TRUE(waitReadable(Listener.fd(), now() + TestTimeout));
  Made.Remote = UniqueFd(::accept(Listener.fd(), nullptr, nullptr));
  return Made;
}

void resetConnection(UniqueFd Fd) {
  const linger Abort{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(Fd.fd(), SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
}

SendStatus sendByte(int Fd) {
  std::string_view Head = "x";
  std::string_view Body;
  return sendSome(Fd, Head, Body);
}

// Guards against a reset that the failed send takes note of alone, so that the
// bytes before it look like all that the remote side has sent.
TEST(SendSome, TellsAResetFromAnEnd) {
  Pair Reset = connectedPair();
  ASSERT_TRUE(sendAll(Reset.Remote.fd(), "part", {}, now() + TestTimeout));
  resetConnection(std::move(Reset.Remote));
  EXPECT_EQ(sendByte(Reset.Local.fd()), SendStatus::Broken);
  char Space[16];
  EXPECT_EQ(receiveSome(Reset.Local.fd(), Space), 4);
  EXPECT_EQ(receiveSome(Reset.Local.fd(), Space), ConnectionClosed);

  Pair Ended = connectedPair();
  ASSERT_TRUE(sendAll(Ended.Remote.fd(), "whole", {}, now() + TestTimeout));
  ::shutdown(Ended.Remote.fd(), SHUT_WR);
  EXPECT_EQ(sendByte(Ended.Local.fd()), SendStatus::Open);
  resetConnection(std::move(Ended.Remote));
  EXPECT_EQ(sendByte(Ended.Local.fd()), SendStatus::Closed);
  EXPECT_EQ(receiveSome(Ended.Local.fd(), Space), 5);
  EXPECT_EQ(receiveSome(Ended.Local.fd(), Space), ConnectionClosed);
}

} // namespace
} // namespace magnolia::daemon
