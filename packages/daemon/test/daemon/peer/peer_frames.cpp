#include "daemon/peer/call_frames.h"

#include "../support/test_node.h"

#include "wire/peer.pb.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace magnolia::daemon {
namespace {

using namespace test;

// Peer connections to a node without a backend server.
struct PeerFrames : testing::Test {
  [[nodiscard]] UniqueFd connect() const {
    return connectTcp("127.0.0.1", Node.Running.Settings.PeerPort,
                      now() + TestTimeout);
  }

  [[nodiscard]] PeerConnection
  connectAs(const wire::ClusterKey &NodeKey) const {
    PeerConnection NewConnection(connect());
    const PeerIdentity Own{.Node = 1, .Run = 1, .Key = NodeKey};
    return handshakeAsClient(NewConnection, Own, now() + TestTimeout)
               ? std::move(NewConnection)
               : PeerConnection();
  }

  // True if the node closes the connection without a response.
  static bool isClosed(int Fd) {
    char Space[64];
    return waitReadable(Fd, now() + TestTimeout) && receiveSome(Fd, Space) < 0;
  }

  TestNode Node{nodeSettings()};
};

struct RawRow {
  const char *Failure;
  std::string Bytes;
};

TEST_F(PeerFrames, UnauthenticatedFramesAreRefused) {
  std::string Ping;
  wire::PeerFrame Frame;
  Frame.mutable_ping()->set_sequence(1);
  ASSERT_TRUE(wire::appendFrame(Ping, Frame));
  std::string Request;
  Frame.mutable_request()->set_service("stock");
  ASSERT_TRUE(wire::appendFrame(Request, Frame));
  std::string ShortNonce;
  Frame.mutable_hello()->set_nonce("short");
  ASSERT_TRUE(wire::appendFrame(ShortNonce, Frame));
  const RawRow Rows[] = {
      {"a ping before the handshake", Ping},
      {"a request before the handshake", Request},
      {"a nonce short enough to guess", ShortNonce},
      {"an oversized frame", std::string("\xFF\xFF\xFF\xFF", 4)},
      {"another protocol", "GET / HTTP/1.1\r\n\r\n"},
  };
  for (const RawRow &Row : Rows) {
    const UniqueFd Fd = connect();
    ASSERT_TRUE(sendAll(Fd.fd(), Row.Bytes, {}, now() + TestTimeout));
    EXPECT_TRUE(isClosed(Fd.fd())) << Row.Failure;
  }
  EXPECT_EQ(Node.Running.Counts.value(Counter::HandshakesRefused),
            std::size(Rows));
  EXPECT_EQ(Node.Running.Counts.value(Counter::SidecarRequests), 0U);
}

// Guards against accepting a node of another cluster.
TEST_F(PeerFrames, ForeignKeyIsRefused) {
  EXPECT_FALSE(connectAs({.Bytes = "another key 0123"}).valid());
  EXPECT_TRUE(connectAs(Key).valid());
}

TEST_F(PeerFrames, FaultsAfterTheHandshakeCloseTheConnection) {
  const std::string Rows[] = {
      // A length prefix over the maximum.
      std::string("\xFF\xFF\xFF\xFF", 4),
      // A frame that does not parse.
      std::string("\x00\x00\x00\x02\xFF\xFF", 6),
      // A frame that only a sidecar sends.
      [] {
        wire::PeerFrame Frame;
        Frame.mutable_answer()->set_status(200);
        std::string Bytes;
        (void)wire::appendFrame(Bytes, Frame);
        return Bytes;
      }(),
  };
  for (const std::string &Bytes : Rows) {
    PeerConnection Connection = connectAs(Key);
    ASSERT_TRUE(Connection.flush(now() + TestTimeout));
    ASSERT_TRUE(sendAll(Connection.fd(), Bytes, {}, now() + TestTimeout));
    EXPECT_TRUE(isClosed(Connection.fd()));
  }
}

// Guards against a request that runs although its body was aborted or exceeds
// the limit.
// Guards against a body that is rejected as too large and keeps its memory.
TEST_F(PeerFrames, ARejectedBodyIsFreed) {
  const policy::RequestId Id{.Origin = 1, .Run = 1, .Sequence = 1};
  constexpr std::size_t Size = 100'000;
  std::string Body;
  BodyAssembly Assembly(Size, Id);
  EXPECT_EQ(Assembly.addChunk(Body, std::string(Size, 'x'), false),
            AssemblyStatus::More);
  EXPECT_EQ(Assembly.addChunk(Body, "x", false), AssemblyStatus::TooLargeMore);
  EXPECT_LT(Body.capacity(), Size);
}

TEST_F(PeerFrames, BodyAssemblyTable) {
  using Status = AssemblyStatus;
  const policy::RequestId Id{.Origin = 1, .Run = 1, .Sequence = 1};
  std::string Body;
  BodyAssembly Assembly(4, Id);
  EXPECT_EQ(Assembly.addChunk(Body, "abc", false), Status::More);
  wire::PeerBody Chunk;
  Chunk.set_data("d");
  Chunk.set_last(true);
  EXPECT_EQ(Assembly.add(Body, Chunk), Status::Broken) << "another request";
  Chunk.mutable_id()->set_origin(1);
  Chunk.mutable_id()->set_incarnation(1);
  Chunk.mutable_id()->set_sequence(1);
  Chunk.set_aborted(true);
  EXPECT_EQ(Assembly.add(Body, Chunk), Status::Broken) << "aborted";
  Chunk.set_aborted(false);
  EXPECT_EQ(Assembly.add(Body, Chunk), Status::Done);
  EXPECT_EQ(Body, "abcd");
  EXPECT_EQ(Assembly.addChunk(Body, "e", false), Status::TooLargeMore);
  EXPECT_EQ(Assembly.addChunk(Body, "", true), Status::TooLargeDone);
}

// A request that waits for its response, and the end of the sidecar.
struct OpenExchange : testing::Test {
  void SetUp() override {
    int Ends[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends), 0);
    Sidecar = PeerConnection{UniqueFd(Ends[1])};
    Exchange = std::make_unique<PeerExchange>(
        std::make_unique<PeerConnection>(UniqueFd(Ends[0])),
        ExchangeOptions{.ResponseBytes = 64,
                        .PingAfter = TestTimeout,
                        .PingTimeout = TestTimeout});
    CallRequest Request;
    Request.Id = {.Origin = 1, .Run = 1, .Sequence = 1};
    Request.Method = "GET";
    Request.Target = "/";
    Request.Deadline = now() + TestTimeout;
    ASSERT_TRUE(Exchange->start(Request, now(), false));
  }

  // Sends a response to the request with the number.
  ExchangeStatus respond(std::uint64_t Number, const CallResponse &Response) {
    EXPECT_TRUE(queueResponse(
        Sidecar, {.Origin = 1, .Run = 1, .Sequence = Number}, Response));
    EXPECT_TRUE(Sidecar.flush(now() + TestTimeout));
    return Exchange->advance(now());
  }

  PeerConnection Sidecar;
  std::unique_ptr<PeerExchange> Exchange;
};

// Guards against a response that is delivered to another request.
TEST_F(OpenExchange, ResponseToAnotherRequestIsLost) {
  EXPECT_EQ(respond(2, {.Status = 200}), ExchangeStatus::Lost);
}

// Guards against counts of a route that are lost between the nodes.
TEST_F(OpenExchange, ResponseCarriesTheCountsOfItsRoute) {
  ASSERT_EQ(respond(1, {.Status = 200, .RouteRuns = 300, .RouteLosses = 7}),
            ExchangeStatus::Done);
  EXPECT_EQ(Exchange->response().RouteRuns, 300U);
  EXPECT_EQ(Exchange->response().RouteLosses, 7U);
}

} // namespace
} // namespace magnolia::daemon
