#include "ctl/node/call_node.h"

#include "wire/frame/frame_buffer.h"
#include "wire/seal/control_seal.h"

#include <boost/asio/ip/tcp.hpp>

#include <span>
#include <utility>

namespace magnolia::ctl {
namespace {

constexpr std::size_t ReadBytes = 16'384;

// Returns false if the connection ends before a whole message has arrived.
bool receive(boost::asio::ip::tcp::iostream &Stream,
             wire::SealedMessage &Message) {
  wire::FrameBuffer Incoming(wire::ControlFrameMaximumBytes);
  for (;;) {
    const wire::FrameStatus Status = Incoming.next(Message);
    if (Status != wire::FrameStatus::NeedMore) {
      return Status == wire::FrameStatus::Ready;
    }
    if (Stream.peek() == std::char_traits<char>::eof()) {
      return false;
    }
    const std::span<char> Space = Incoming.prepare(ReadBytes);
    const std::streamsize Count = Stream.readsome(
        Space.data(), static_cast<std::streamsize>(Space.size()));
    Incoming.commit(static_cast<std::size_t>(Count));
  }
}

std::string reasonOf(const boost::asio::ip::tcp::iostream &Stream) {
  return Stream.error() == boost::asio::error::eof
             ? "it closed the connection: another cluster key, or its control "
               "queue is full"
             : Stream.error().message();
}

} // namespace

NodeCaller tcpNodeCaller(std::string ClusterKey) {
  return [Key = std::move(ClusterKey)](
             const settings::HostPort &Node, const wire::ControlBody &Request,
             std::chrono::milliseconds Timeout,
             policy::Error &LastError) -> std::optional<wire::ControlBody> {
    std::string Frame;
    if (!wire::appendFrame(Frame, wire::seal(Key, Request))) {
      LastError = {policy::ErrorKind::BadRequest,
                   "node " + toString(Node) + ": the request is too long"};
      return std::nullopt;
    }
    boost::asio::ip::tcp::iostream Stream;
    Stream.expires_after(Timeout);
    Stream.connect(Node.Address, std::to_string(Node.Port));
    Stream.write(Frame.data(), static_cast<std::streamsize>(Frame.size()));
    Stream.flush();
    wire::SealedMessage Response;
    if (!Stream || !receive(Stream, Response)) {
      LastError = {policy::ErrorKind::Internal,
                   "node " + toString(Node) + ": " + reasonOf(Stream)};
      return std::nullopt;
    }
    auto Body = wire::open(Key, Response, LastError);
    if (!Body) {
      LastError.Detail.insert(0, "node " + toString(Node) + ": ");
    }
    return Body;
  };
}

std::string toString(const settings::HostPort &Node) {
  return Node.Address + ":" + std::to_string(Node.Port);
}

} // namespace magnolia::ctl
