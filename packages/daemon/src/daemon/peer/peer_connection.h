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

// Who this node is on peer connections.
struct PeerIdentity {
  policy::NodeId Node = 0;
  policy::Incarnation Run = 0;
  wire::ClusterKey Key;
};

// Who the other side proved to be.
struct PeerName {
  policy::NodeId Node = 0;
  policy::Incarnation Run = 0;
};

enum class ReceiveStatus : std::uint8_t { Frame, Nothing, Broken };

// Frames over one TCP connection.
class PeerConnection {
public:
  PeerConnection() = default;
  explicit PeerConnection(UniqueFd Connected)
      : Socket(std::move(Connected)), Fd(Socket.fd()) {}
  // Uses a descriptor that somebody else closes.
  explicit PeerConnection(int Borrowed) : Fd(Borrowed) {}

  // Appends a frame to what the next flush sends. False where it is too long.
  [[nodiscard]] bool queue(const wire::PeerFrame &Frame);
  [[nodiscard]] bool flush(policy::TimePoint Deadline);
  [[nodiscard]] bool send(const wire::PeerFrame &Frame,
                          policy::TimePoint Deadline);

  // Takes a frame that is there already; does not wait.
  [[nodiscard]] ReceiveStatus receive(wire::PeerFrame &Frame);
  // Waits for a frame. Nothing: the deadline passed.
  [[nodiscard]] ReceiveStatus await(wire::PeerFrame &Frame,
                                    policy::TimePoint Deadline,
                                    policy::Duration Spin = {});

  [[nodiscard]] int fd() const { return Fd; }
  [[nodiscard]] bool valid() const { return Fd >= 0; }
  // True where a frame has come in part or whole but was not taken.
  [[nodiscard]] bool hasBytes() const { return !Incoming.empty(); }
  // Time of the last bytes from the other side.
  policy::TimePoint LastHeard{};
  // Set by the handshake.
  PeerName Other;

private:
  UniqueFd Socket;
  int Fd = -1;
  wire::FrameBuffer Incoming;
  std::string Outgoing;
};

// Handshake of the connecting side. The proof of the own identity is queued
// and travels with the first frame. False: the other side is no node of the
// cluster or did not answer in time.
[[nodiscard]] bool greet(PeerConnection &Connection, const PeerIdentity &Own,
                         policy::TimePoint Deadline);

// Handshake of the accepting side.
[[nodiscard]] bool welcome(PeerConnection &Connection, const PeerIdentity &Own,
                           policy::TimePoint Deadline);

} // namespace magnolia::daemon

#endif
