#include "daemon/peer/peer_connection.h"

#include "daemon/memory/release_buffer.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "wire/peer.pb.h"
#include "wire/seal/hello.h"

namespace magnolia::daemon {

namespace {

constexpr std::size_t ReadBytes = 16'384;
// A larger buffer is freed after its bytes are sent.
constexpr std::size_t KeptBytes = 65'536;

} // namespace

bool PeerConnection::queue(const wire::PeerFrame &Frame) {
  return wire::appendFrame(Outgoing, Frame);
}

bool PeerConnection::flush(policy::TimePoint Deadline) {
  const bool Sent = sendAll(Fd, Outgoing, {}, Deadline);
  Outgoing.clear();
  if (Outgoing.capacity() > KeptBytes) {
    releaseBuffer(Outgoing);
  }
  return Sent;
}

void PeerConnection::reserve(std::size_t Bytes) {
  Outgoing.reserve(Outgoing.size() + Bytes);
}

bool PeerConnection::send(const wire::PeerFrame &Frame,
                          policy::TimePoint Deadline) {
  return queue(Frame) && flush(Deadline);
}

ReceiveStatus PeerConnection::receive(wire::PeerFrame &Frame) {
  for (;;) {
    switch (Incoming.next(Frame)) {
    case wire::FrameStatus::Ready:
      return ReceiveStatus::Frame;
    case wire::FrameStatus::Broken:
      return ReceiveStatus::Broken;
    case wire::FrameStatus::NeedMore:
      break;
    }
    const auto Count = receiveSome(Fd, Incoming.prepare(ReadBytes));
    if (Count <= 0) {
      return Count == 0 ? ReceiveStatus::Nothing : ReceiveStatus::Broken;
    }
    LastReceived = now();
    Incoming.commit(static_cast<std::size_t>(Count));
  }
}

ReceiveStatus PeerConnection::await(wire::PeerFrame &Frame,
                                    policy::TimePoint Deadline,
                                    policy::Duration Spin) {
  for (;;) {
    const ReceiveStatus Status = receive(Frame);
    if (Status != ReceiveStatus::Nothing || !waitReadable(Fd, Deadline, Spin)) {
      return Status;
    }
  }
}

bool handshakeAsClient(PeerConnection &Connection, const PeerIdentity &Own,
                       policy::TimePoint Deadline) {
  wire::PeerFrame Frame;
  const wire::PeerHello Opening = wire::helloOpening(Own.Node, Own.Run);
  *Frame.mutable_hello() = Opening;
  if (!Connection.send(Frame, Deadline) ||
      Connection.await(Frame, Deadline) != ReceiveStatus::Frame ||
      !Frame.has_hello() ||
      !wire::isAuthenticResponse(Own.Key, Frame.hello(), Opening.nonce())) {
    return false;
  }
  Connection.RemoteNode = {.Node = Frame.hello().node(),
                           .Run = Frame.hello().incarnation()};
  const std::string Nonce = Frame.hello().nonce();
  *Frame.mutable_hello() = wire::helloProof(Own.Key, Opening, Nonce);
  return Connection.queue(Frame);
}

bool handshakeAsServer(PeerConnection &Connection, const PeerIdentity &Own,
                       policy::TimePoint Deadline) {
  wire::PeerFrame Frame;
  if (Connection.await(Frame, Deadline) != ReceiveStatus::Frame ||
      !Frame.has_hello() || !wire::isValidOpening(Frame.hello())) {
    return false;
  }
  const wire::PeerHello Opening = Frame.hello();
  const wire::PeerHello Response =
      wire::helloResponse(Own.Key, Own.Node, Own.Run, Opening.nonce());
  *Frame.mutable_hello() = Response;
  if (!Connection.send(Frame, Deadline) ||
      Connection.await(Frame, Deadline) != ReceiveStatus::Frame ||
      !Frame.has_hello() ||
      !wire::isAuthenticProof(Own.Key, Frame.hello(), Opening,
                              Response.nonce())) {
    return false;
  }
  Connection.RemoteNode = {.Node = Opening.node(),
                           .Run = Opening.incarnation()};
  return true;
}

} // namespace magnolia::daemon
