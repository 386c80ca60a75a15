#include "daemon/link/link_pacer.h"

#include "../support/test_node.h"

#include "daemon/peer/peer_exchange.h"
#include "wire/convert/convert.h"
#include "wire/peer.pb.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>

namespace magnolia::daemon {
namespace {

using namespace test;

constexpr std::size_t BodyBytes = 100'000;

std::string largeResponse() {
  std::string Body(BodyBytes, 'a');
  for (std::size_t I = 0; I < Body.size(); ++I) {
    Body[I] = static_cast<char>('a' + I / 1000 % 26);
  }
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

settings::NodeSettings linkSettings(double BytesPerSecond) {
  settings::NodeSettings Made = nodeSettings();
  Made.LinkBytesPerSecond = BytesPerSecond;
  return Made;
}

// Node with a backend server whose responses are large, asked over a peer
// connection.
struct BulkResponses : testing::Test {
  ScriptedBackend Backend{[](const std::string &) { return largeResponse(); }};

  static std::unique_ptr<PeerConnection> connect(const TestNode &Node) {
    auto Connection = std::make_unique<PeerConnection>(connectTcp(
        "127.0.0.1", Node.Running.Settings.PeerPort, now() + TestTimeout));
    EXPECT_TRUE(handshakeAsClient(
        *Connection, {.Node = 1, .Run = 1, .Key = Key}, now() + TestTimeout));
    return Connection;
  }

  static CallRequest bulkRequest(std::uint64_t Sequence,
                                 policy::Duration Objective) {
    CallRequest Request;
    Request.Id = {.Origin = 1, .Run = 1, .Sequence = Sequence};
    Request.Service = "stock";
    Request.Method = "GET";
    Request.Target = "/";
    Request.Idempotent = true;
    Request.Deadline = now() + TestTimeout;
    Request.Objective = now() + Objective;
    Request.Bulk = true;
    return Request;
  }

  static CallResponse finish(PeerExchange &Exchange) {
    const policy::TimePoint Latest = now() + TestTimeout;
    ExchangeStatus Status = ExchangeStatus::Pending;
    while (Status == ExchangeStatus::Pending && now() < Latest) {
      (void)waitReadable(Exchange.fd(), Exchange.nextCheck());
      Status = Exchange.advance(now());
    }
    EXPECT_EQ(Status, ExchangeStatus::Done);
    return std::move(Exchange.response());
  }
};

// Guards against pieces that are lost, doubled or out of order, and against a
// body that is sent faster than the share of the link.
TEST_F(BulkResponses, ArriveWholeAtTheRateOfTheLink) {
  constexpr double BytesPerSecond = 500'000;
  const TestNode Node(linkSettings(BytesPerSecond), Backend.port());
  PeerExchange Exchange(connect(Node), {.ResponseBytes = 2 * BodyBytes,
                                        .PingAfter = TestTimeout,
                                        .PingTimeout = TestTimeout,
                                        .LostAfter = TestTimeout});
  const policy::TimePoint Start = now();
  ASSERT_TRUE(
      Exchange.start(bulkRequest(1, std::chrono::seconds(5)), Start, false));
  const CallResponse Response = finish(Exchange);
  EXPECT_TRUE(largeResponse().ends_with(Response.Body));
  EXPECT_EQ(Response.Body.size(), BodyBytes);
  // All pieces but the last one have to be sent before the response is whole.
  EXPECT_GE(now() - Start, std::chrono::milliseconds(160));
}

// Guards against requests that wait behind other bodies until they are late.
TEST_F(BulkResponses, AreRejectedWhileTheLinkIsBusy) {
  const TestNode Node(linkSettings(100'000), Backend.port());
  const ExchangeOptions Options{.ResponseBytes = 2 * BodyBytes,
                                .PingAfter = TestTimeout,
                                .PingTimeout = TestTimeout,
                                .LostAfter = TestTimeout};
  PeerExchange First(connect(Node), Options);
  ASSERT_TRUE(
      First.start(bulkRequest(1, std::chrono::seconds(1)), now(), false));
  (void)waitReadable(First.fd(), now() + TestTimeout);
  PeerExchange Second(connect(Node), Options);
  ASSERT_TRUE(Second.start(bulkRequest(2, std::chrono::milliseconds(500)),
                           now(), false));
  const CallResponse Rejected = finish(Second);
  EXPECT_EQ(Rejected.Kind, policy::ErrorKind::SlowInstance);
  EXPECT_FALSE(Rejected.Reached);
  EXPECT_EQ(Node.Running.Counts.value(Counter::LinkRejections), 1U);
  EXPECT_EQ(finish(First).Body.size(), BodyBytes);
}

// Guards against a connection that goes on with another response after a body
// that its caller cancelled, and against a share of the link that is kept.
TEST_F(BulkResponses, CancelledBodyClosesTheConnection) {
  const TestNode Node(linkSettings(100'000), Backend.port());
  const std::unique_ptr<PeerConnection> Connection = connect(Node);
  const CallRequest Request = bulkRequest(1, std::chrono::seconds(5));
  ASSERT_TRUE(queueRequest(*Connection, Request, now()));
  ASSERT_TRUE(Connection->flush(now() + TestTimeout));
  wire::PeerFrame Frame;
  ASSERT_EQ(Connection->await(Frame, now() + TestTimeout),
            ReceiveStatus::Frame);
  EXPECT_TRUE(Frame.answer().body_continues());
  wire::toWire(Request.Id, *Frame.mutable_cancel()->mutable_id());
  ASSERT_TRUE(Connection->send(Frame, now() + TestTimeout));
  ReceiveStatus Status = ReceiveStatus::Frame;
  while (Status == ReceiveStatus::Frame) {
    Status = Connection->await(Frame, now() + TestTimeout);
  }
  EXPECT_EQ(Status, ReceiveStatus::Broken);
}

// Guards against received bodies that do not appear in the load report with all
// of their chunks.
TEST_F(BulkResponses, ReceivedBodyIsReportedAsUseOfTheLink) {
  constexpr std::size_t Large = 20 * BodyBytes;
  const TestNode Node(linkSettings(5 * Large), Backend.port());
  PeerExchange Exchange(connect(Node), {.ResponseBytes = 2 * BodyBytes,
                                        .PingAfter = TestTimeout,
                                        .PingTimeout = TestTimeout,
                                        .LostAfter = TestTimeout});
  CallRequest Upload = bulkRequest(1, std::chrono::seconds(5));
  Upload.Idempotent = false;
  Upload.Body.assign(Large, 'a');
  ASSERT_TRUE(Exchange.start(Upload, now(), false));
  EXPECT_EQ(finish(Exchange).Load.LinkUsePercent, 20U);
}

// Guards against bytes that are not counted because their body breaks off.
TEST_F(BulkResponses, BrokenBodyCountsAsFarAsItArrived) {
  const TestNode Node(linkSettings(5 * BodyBytes), Backend.port());
  const std::unique_ptr<PeerConnection> Connection = connect(Node);
  wire::PeerFrame Frame;
  wire::PeerRequest &Begun = *Frame.mutable_request();
  Begun.set_body(std::string(BodyBytes / 2, 'a'));
  Begun.set_body_continues(true);
  ASSERT_TRUE(Connection->send(Frame, now() + TestTimeout));
  const policy::TimePoint Latest = now() + TestTimeout;
  std::uint32_t Use = 0;
  while (Use == 0 && now() < Latest) {
    std::this_thread::yield();
    Use = Node.Running.Link.usePercent(now());
  }
  EXPECT_EQ(Use, 10U);
}

} // namespace
} // namespace magnolia::daemon
