#ifndef DAEMON_CONTROL_CONTROL_FRAMES_H
#define DAEMON_CONTROL_CONTROL_FRAMES_H

#include "policy/core/types.h"
#include "wire/frame/frame_buffer.h"

namespace magnolia::daemon {

// Receives the sealed messages of a control connection. The descriptor belongs
// to the caller.
class ControlFrames {
public:
  explicit ControlFrames(int Fd)
      : Fd(Fd), Incoming(wire::ControlFrameMaximumBytes) {}

  // Waits for a message. Returns false if the connection ends, the deadline
  // passes, or the bytes are not a message.
  [[nodiscard]] bool receive(wire::SealedMessage &Message,
                             policy::TimePoint Deadline);

  // True if a message has arrived in part or whole but was not taken.
  [[nodiscard]] bool hasBytes() const { return !Incoming.empty(); }

private:
  int Fd;
  wire::FrameBuffer Incoming;
};

// Returns false if the message is too long, the connection breaks or the
// deadline passes.
[[nodiscard]] bool sendControlFrame(int Fd, const wire::SealedMessage &Message,
                                    policy::TimePoint Deadline);

} // namespace magnolia::daemon

#endif
