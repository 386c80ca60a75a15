#include "daemon/control/control_frames.h"

#include "daemon/net/socket.h"
#include "wire/types.pb.h"

#include <string>

namespace magnolia::daemon {

namespace {

constexpr std::size_t ReadBytes = 16'384;

} // namespace

bool ControlFrames::receive(wire::SealedMessage &Message,
                            policy::TimePoint Deadline) {
  for (;;) {
    const wire::FrameStatus Status = Incoming.next(Message);
    if (Status != wire::FrameStatus::NeedMore) {
      return Status == wire::FrameStatus::Ready;
    }
    const auto Count = receiveSome(Fd, Incoming.prepare(ReadBytes));
    if (Count < 0 || (Count == 0 && !waitReadable(Fd, Deadline))) {
      return false;
    }
    Incoming.commit(static_cast<std::size_t>(Count));
  }
}

bool sendControlFrame(int Fd, const wire::SealedMessage &Message,
                      policy::TimePoint Deadline) {
  std::string Bytes;
  return wire::appendFrame(Bytes, Message) && sendAll(Fd, Bytes, {}, Deadline);
}

} // namespace magnolia::daemon
