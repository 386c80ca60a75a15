#include "daemon/entry/start_waits.h"

namespace magnolia::daemon {

std::optional<policy::TimePoint>
StartWaits::begin(const policy::UnservedRequest &Request,
                  policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  return policy::beginWait(State, Request, Now);
}

void StartWaits::end() {
  const std::lock_guard Lock(Mutex);
  policy::endWait(State);
}

} // namespace magnolia::daemon
