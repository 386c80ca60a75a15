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

// Queue a whole message: a first frame with the first chunk of the body, and
// further frames for the other chunks. Return false and queue nothing if the
// headers exceed the maximum.
[[nodiscard]] bool queueRequest(PeerConnection &Connection,
                                const CallRequest &Request,
                                policy::TimePoint Now);
[[nodiscard]] bool queueResponse(PeerConnection &Connection,
                                 const policy::RequestId &Id,
                                 const CallResponse &Response);

enum class AssemblyStatus : std::uint8_t {
  More,
  Done,
  // The body exceeds the limit and its rest has not been read yet.
  TooLargeMore,
  TooLargeDone,
  // The frame belongs to another message, or the sender aborted the body.
  Broken,
};

// Assembles a body from its chunks, up to a size limit.
class BodyAssembly {
public:
  BodyAssembly(std::size_t Limit, const policy::RequestId &Id)
      : Limit(Limit), Id(Id) {}

  [[nodiscard]] AssemblyStatus add(std::string &Body, wire::PeerBody &Chunk);
  [[nodiscard]] AssemblyStatus addChunk(std::string &Body,
                                        std::string_view Chunk, bool Last);

private:
  std::size_t Limit;
  policy::RequestId Id;
  bool TooLarge = false;
};

// Read the headers and fields of a first frame and leave the body in the frame.
// Return false if they are invalid.
[[nodiscard]] bool readRequest(const wire::PeerFrame &Frame,
                               CallRequest &Request, policy::TimePoint Now);
[[nodiscard]] bool readResponse(const wire::PeerFrame &Frame,
                                CallResponse &Response);

} // namespace magnolia::daemon

#endif
