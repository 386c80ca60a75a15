#include "ctl/node/call_node.h"

#include "wire/frame/frame_buffer.h"
#include "wire/seal/control_seal.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <thread>
#include <utility>

namespace magnolia::ctl {
namespace {

constexpr const char *Key = "0123456789abcdef";
constexpr const char *OtherKey = "fedcba9876543210";
constexpr std::chrono::milliseconds Timeout{5000};

// Node that responds to every authentic request with a status and closes the
// connection of any other.
class StatusNode {
public:
  explicit StatusNode(std::string ResponseKey)
      : ResponseKey(std::move(ResponseKey)),
        Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}),
        Address{"127.0.0.1", Acceptor.local_endpoint().port()},
        Thread([this] { serve(); }) {}
  StatusNode(const StatusNode &) = delete;
  StatusNode &operator=(const StatusNode &) = delete;
  ~StatusNode() {
    Stopping = true;
    boost::asio::ip::tcp::iostream Wake;
    Wake.connect(Address.Address, std::to_string(Address.Port));
    Wake.close();
    Thread.join();
  }

private:
  void serve() {
    while (!Stopping) {
      boost::asio::ip::tcp::iostream Caller;
      Acceptor.accept(Caller.socket());
      answer(Caller);
    }
  }

  void answer(boost::asio::ip::tcp::iostream &Caller) const {
    wire::FrameBuffer Incoming(wire::ControlFrameMaximumBytes);
    wire::SealedMessage Request;
    while (Incoming.next(Request) != wire::FrameStatus::Ready) {
      char Byte = 0;
      if (!Caller.get(Byte)) {
        return;
      }
      Incoming.prepare(1)[0] = Byte;
      Incoming.commit(1);
    }
    policy::Error LastError;
    const auto Body = wire::open(Key, Request, LastError);
    if (!Body) {
      return;
    }
    wire::ControlBody Status;
    Status.mutable_status_answer()->set_version(Body->method());
    std::string Frame;
    EXPECT_TRUE(wire::appendFrame(Frame, wire::seal(ResponseKey, Status)));
    Caller.write(Frame.data(), static_cast<std::streamsize>(Frame.size()));
    Caller.flush();
  }

  std::string ResponseKey;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> Stopping = false;

public:
  const settings::HostPort Address;

private:
  std::thread Thread;
};

wire::ControlBody statusRequest() {
  wire::ControlBody Request;
  Request.set_method("status");
  Request.mutable_status();
  return Request;
}

TEST(CallNode, ReturnsTheResponse) {
  const StatusNode Node(Key);
  policy::Error Error;
  const auto Response =
      tcpNodeCaller(Key)(Node.Address, statusRequest(), Timeout, Error);
  ASSERT_TRUE(Response) << Error.Detail;
  EXPECT_EQ(Response->status_answer().version(), "status");
}

// Guards against a response from an unauthenticated sender that is accepted,
// and against an error that does not name the node.
TEST(CallNode, RejectsWhatIsNotAuthentic) {
  const StatusNode Honest(Key);
  const StatusNode Impostor(OtherKey);
  policy::Error Error;
  EXPECT_FALSE(
      tcpNodeCaller(OtherKey)(Honest.Address, statusRequest(), Timeout, Error));
  EXPECT_NE(Error.Detail.find(toString(Honest.Address)), std::string::npos);
  EXPECT_FALSE(
      tcpNodeCaller(Key)(Impostor.Address, statusRequest(), Timeout, Error));
  EXPECT_NE(Error.Detail.find(toString(Impostor.Address)), std::string::npos);
}

} // namespace
} // namespace magnolia::ctl
