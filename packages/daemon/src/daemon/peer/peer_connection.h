#ifndef DAEMON_PEER_PEER_CONNECTION_H
#define DAEMON_PEER_PEER_CONNECTION_H

#include "daemon/net/unique_fd.h"
#include "policy/core/types.h"
#include "wire/frame/frame_buffer.h"
#include "wire/seal/cluster_key.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::wire {
class PeerFrame;
} // namespace magnolia::wire

namespace magnolia::daemon {

// Identity of this node on peer connections.
struct PeerIdentity {
  policy::NodeId Node = 0;
  policy::Incarnation Run = 0;
  wire::ClusterKey Key;
};

// Identity of the remote node, authenticated by the handshake.
struct RemoteIdentity {
  policy::NodeId Node = 0;
  policy::Incarnation Run = 0;
};

enum class ReceiveStatus : std::uint8_t { Frame, Nothing, Broken };

// Sends and receives frames over one TCP connection.
class PeerConnection {
public:
  PeerConnection() = default;
  explicit PeerConnection(UniqueFd Connected)
      : Socket(std::move(Connected)), Fd(Socket.fd()) {}
  // Uses a descriptor that the caller owns and closes.
  explicit PeerConnection(int Borrowed) : Fd(Borrowed) {}

  // Appends a frame to the output of the next flush. Returns false if the frame
  // is too long.
  [[nodiscard]] bool queue(const wire::PeerFrame &Frame);
  [[nodiscard]] bool flush(policy::TimePoint Deadline);
  // Makes room for frames of this size in the output of the next flush.
  void reserve(std::size_t Bytes);
  [[nodiscard]] bool send(const wire::PeerFrame &Frame,
                          policy::TimePoint Deadline);

  // Takes a frame that has already arrived, without waiting.
  [[nodiscard]] ReceiveStatus receive(wire::PeerFrame &Frame);
  // Waits for a frame. Returns Nothing if the deadline passes.
  [[nodiscard]] ReceiveStatus await(wire::PeerFrame &Frame,
                                    policy::TimePoint Deadline,
                                    policy::Duration Spin = {});

  [[nodiscard]] int fd() const { return Fd; }
  [[nodiscard]] bool valid() const { return Fd >= 0; }
  // True if a frame has arrived in part or whole but was not taken.
  [[nodiscard]] bool hasBytes() const { return !Incoming.empty(); }
  // Time when bytes last arrived from the remote node.
  policy::TimePoint LastReceived{};
  // Set by the handshake.
  RemoteIdentity RemoteNode;

private:
  UniqueFd Socket;
  int Fd = -1;
  wire::FrameBuffer Incoming;
  std::string Outgoing;
};

// Performs the client side of the handshake. The authentication of this node is
// queued and sent with the first frame. Returns false if the remote side is not
// a node of the cluster or did not respond in time.
[[nodiscard]] bool handshakeAsClient(PeerConnection &Connection,
                                     const PeerIdentity &Own,
                                     policy::TimePoint Deadline);

// Performs the server side of the handshake.
[[nodiscard]] bool handshakeAsServer(PeerConnection &Connection,
                                     const PeerIdentity &Own,
                                     policy::TimePoint Deadline);

} // namespace magnolia::daemon

#endif
