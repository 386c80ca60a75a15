#include "daemon/link/link_pacer.h"

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

std::optional<policy::TimePoint> LinkPacer::reserve(std::size_t Bytes,
                                                    policy::TimePoint Now,
                                                    policy::TimePoint Latest) {
  const std::lock_guard Lock(Mutex);
  return policy::reservePiece(State, Bytes, Now, Latest);
}

void LinkPacer::countReceived(std::size_t Bytes, policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  policy::recordReceived(Received, Bytes, Now);
}

std::uint32_t LinkPacer::usePercent(policy::TimePoint Now) const {
  const std::lock_guard Lock(Mutex);
  return policy::linkUsePercent(Received, State.Options.BytesPerSecond, Now);
}

policy::LinkState LinkPacer::state() const {
  const std::lock_guard Lock(Mutex);
  return State;
}

} // namespace magnolia::daemon
