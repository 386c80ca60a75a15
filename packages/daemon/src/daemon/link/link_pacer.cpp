#include "daemon/link/link_pacer.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "policy/link/share_link.h"

namespace magnolia::daemon {

LinkPacer::LinkPacer(double BytesPerSecond) {
  State.Options.BytesPerSecond = BytesPerSecond;
}

bool LinkPacer::isLimited() const {
  const std::lock_guard Lock(Mutex);
  return policy::isLimited(State);
}

bool LinkPacer::begin(const policy::TransferQuery &Query,
                      policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  return policy::beginTransfer(State, Query, Now);
}

void LinkPacer::end(std::size_t BodyBytes) {
  const std::lock_guard Lock(Mutex);
  policy::endTransfer(State, BodyBytes);
}

bool LinkPacer::awaitPiece(std::size_t Bytes, policy::TimePoint Deadline) {
  policy::TimePoint Start;
  {
    const std::lock_guard Lock(Mutex);
    Start = policy::reservePiece(State, Bytes, now());
  }
  if (Start > Deadline) {
    return false;
  }
  if (Start > now()) {
    (void)waitReady({}, Start, {});
  }
  return true;
}

policy::LinkState LinkPacer::state() const {
  const std::lock_guard Lock(Mutex);
  return State;
}

} // namespace magnolia::daemon
