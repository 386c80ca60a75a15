#ifndef DAEMON_PEER_CALL_FRAMES_H
#define DAEMON_PEER_CALL_FRAMES_H

#include "daemon/memory/fwd.h"
#include "daemon/peer/call.h"
#include "wire/frame/limits.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

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
// If the first chunk is limited to less than a frame holds, queueResponse
// queues the first frame only, and the caller queues the rest of the body.
[[nodiscard]] bool
queueResponse(PeerConnection &Connection, const policy::RequestId &Id,
              const CallResponse &Response,
              std::size_t FirstChunkBytes = wire::BodyChunkBytes);
[[nodiscard]] bool queueBodyChunk(PeerConnection &Connection,
                                  const policy::RequestId &Id,
                                  std::string_view Chunk, bool Last);

enum class AssemblyStatus : std::uint8_t {
  More,
  Done,
  // The body exceeds the limit, or the node has no memory for it, and its rest
  // has not been read yet.
  TooLargeMore,
  TooLargeDone,
  // The frame belongs to another message, or the sender aborted the body.
  Broken,
};

// Assembles a body from its chunks, up to a size limit.
class BodyAssembly {
public:
  // Null for no limit on the sum of all bodies.
  BodyAssembly(std::size_t Limit, const policy::RequestId &Id,
               BodyMemory *Memory = nullptr)
      : Limit(Limit), Id(Id), Memory(Memory) {}

  [[nodiscard]] AssemblyStatus add(std::string &Body, wire::PeerBody &Chunk);
  [[nodiscard]] AssemblyStatus addChunk(std::string &Body,
                                        std::string_view Chunk, bool Last);

  // True if the body is too large because the node has no memory for it.
  [[nodiscard]] bool lacksMemory() const { return LacksMemory; }
  // Returns the memory that the body uses.
  [[nodiscard]] BodyShare share() const { return Share; }

private:
  // Returns false if the node has no memory for a body of this size.
  [[nodiscard]] bool hold(std::size_t Size);

  std::size_t Limit;
  policy::RequestId Id;
  BodyMemory *Memory;
  BodyShare Share;
  bool TooLarge = false;
  bool LacksMemory = false;
};

// Read the headers and fields of a first frame and leave the body in the frame.
// Return false if they are invalid.
[[nodiscard]] bool readRequest(const wire::PeerFrame &Frame,
                               CallRequest &Request, policy::TimePoint Now);
[[nodiscard]] bool readResponse(const wire::PeerFrame &Frame,
                                CallResponse &Response);

} // namespace magnolia::daemon

#endif
