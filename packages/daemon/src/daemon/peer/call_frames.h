#ifndef DAEMON_PEER_CALL_FRAMES_H
#define DAEMON_PEER_CALL_FRAMES_H

#include "daemon/peer/call.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::wire {
class PeerBody;
class PeerFrame;
} // namespace magnolia::wire

namespace magnolia::daemon {

class PeerConnection;

// Queue a whole message: the first frame with the first piece of the body, and
// further pieces. False where the headers are over the maximum; nothing is
// queued then.
[[nodiscard]] bool queueRequest(PeerConnection &Connection,
                                const CallRequest &Request,
                                policy::TimePoint Now);
[[nodiscard]] bool queueAnswer(PeerConnection &Connection,
                               const policy::RequestId &Id,
                               const CallAnswer &Answer);

enum class AssemblyStatus : std::uint8_t {
  More,
  Done,
  // The body is over the limit; its rest is still to be read.
  TooLargeMore,
  TooLargeDone,
  // A frame of another message, or the sender broke the body off.
  Broken,
};

// Puts a body together from its pieces, up to a limit.
class BodyAssembly {
public:
  BodyAssembly(std::size_t Limit, const policy::RequestId &Id)
      : Limit(Limit), Id(Id) {}

  [[nodiscard]] AssemblyStatus add(std::string &Body, wire::PeerBody &Piece);
  [[nodiscard]] AssemblyStatus addPiece(std::string &Body,
                                        std::string_view Piece, bool Last);

private:
  std::size_t Limit;
  policy::RequestId Id;
  bool Over = false;
};

// Headers and fields of a first frame; false where they are not acceptable.
// The body is left in the frame.
[[nodiscard]] bool readRequest(const wire::PeerFrame &Frame,
                               CallRequest &Request, policy::TimePoint Now);
[[nodiscard]] bool readAnswer(const wire::PeerFrame &Frame, CallAnswer &Answer);

} // namespace magnolia::daemon

#endif
