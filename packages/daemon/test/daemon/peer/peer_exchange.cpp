#include "daemon/peer/peer_exchange.h"

#include "daemon/net/clock.h"
#include "wire/convert/convert.h"
#include "wire/peer.pb.h"

#include <sys/socket.h>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <optional>

namespace magnolia::daemon {
namespace {

using std::chrono::milliseconds;

constexpr ExchangeOptions Options{.ResponseBytes = 1000,
                                  .PingAfter = milliseconds(100),
                                  .PingTimeout = milliseconds(150),
                                  .LostAfter = milliseconds(800)};

// Exchange whose remote side is the test. Times are relative to its start, so
// that no test has to wait.
struct ExchangeWithTest {
  PeerConnection Sidecar;
  std::optional<PeerExchange> Exchange;
  policy::TimePoint Start;
  CallRequest Request;

  ExchangeWithTest() {
    std::array<int, 2> Fds{};
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Fds.data()),
              0);
    Sidecar = PeerConnection(UniqueFd(Fds[1]));
    Exchange.emplace(std::make_unique<PeerConnection>(UniqueFd(Fds[0])),
                     Options);
    Request.Id = {.Origin = 1, .Run = 2, .Sequence = 3};
    Request.Method = "GET";
    Request.Target = "/";
    Request.Deadline = now() + std::chrono::hours(1);
    EXPECT_TRUE(Exchange->start(Request, now(), false));
    Start = now();
  }
  ExchangeStatus at(milliseconds After) {
    return Exchange->advance(Start + After);
  }
  void respond() {
    CallResponse Response;
    Response.Status = 200;
    Response.Body = "late";
    EXPECT_TRUE(queueResponse(Sidecar, Request.Id, Response));
    EXPECT_TRUE(Sidecar.flush(now() + std::chrono::seconds(10)));
  }
};

// Guards against a request that is abandoned although its response is only
// delayed by lost packets.
TEST(PeerExchange, UnresponsiveSidecarMayStillRespond) {
  ExchangeWithTest Test;
  EXPECT_EQ(Test.at(milliseconds(50)), ExchangeStatus::Pending);
  // Sends the ping.
  EXPECT_EQ(Test.at(milliseconds(120)), ExchangeStatus::Pending);
  EXPECT_EQ(Test.at(milliseconds(200)), ExchangeStatus::Pending);
  EXPECT_EQ(Test.at(milliseconds(280)), ExchangeStatus::Unresponsive);
  EXPECT_EQ(Test.at(milliseconds(300)), ExchangeStatus::Pending);
  Test.respond();
  EXPECT_EQ(Test.at(milliseconds(500)), ExchangeStatus::Done);
  EXPECT_EQ(Test.Exchange->response().Body, "late");
}

// Guards against a request that waits forever on a broken connection, and
// against a wait without a wake-up time.
TEST(PeerExchange, SilenceEndsAsLost) {
  ExchangeWithTest Test;
  EXPECT_EQ(Test.at(milliseconds(120)), ExchangeStatus::Pending);
  EXPECT_EQ(Test.Exchange->nextCheck(),
            Test.Start + milliseconds(120) + Options.PingTimeout);
  EXPECT_EQ(Test.at(milliseconds(280)), ExchangeStatus::Unresponsive);
  EXPECT_EQ(Test.Exchange->nextCheck(),
            Test.Start + milliseconds(120) + Options.LostAfter);
  EXPECT_EQ(Test.at(milliseconds(921)), ExchangeStatus::Lost);
}

// Guards against the refusal of another request, written by a faulty sidecar,
// that is taken for the response to this one.
TEST(PeerExchange, ResponseToAnotherRequestIsLost) {
  ExchangeWithTest Test;
  CallResponse Refusal =
      callErrorResponse(policy::ErrorKind::Overloaded, "refused");
  policy::RequestId Other = Test.Request.Id;
  --Other.Sequence;
  EXPECT_TRUE(queueResponse(Test.Sidecar, Other, Refusal));
  EXPECT_TRUE(queueResponse(Test.Sidecar, Test.Request.Id, Refusal));
  EXPECT_TRUE(Test.Sidecar.flush(now() + std::chrono::seconds(10)));
  EXPECT_EQ(Test.at(milliseconds(1)), ExchangeStatus::Lost);
}

// Guards against a closed connection that is reported as unresponsive only.
TEST(PeerExchange, ClosedConnectionIsLostAtOnce) {
  ExchangeWithTest Test;
  Test.Sidecar = PeerConnection();
  EXPECT_EQ(Test.at(milliseconds(1)), ExchangeStatus::Lost);
}

} // namespace
} // namespace magnolia::daemon
