#include "daemon/sidecar/running_requests.h"

namespace magnolia::daemon {

void RunningRequests::begin(const std::string &Id) {
  const std::lock_guard Lock(Mutex);
  Ids.insert(Id);
}

void RunningRequests::end(std::string_view Id) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Ids.find(Id);
  if (Found != Ids.end()) {
    Ids.erase(Found);
  }
}

bool RunningRequests::has(std::string_view Id) const {
  const std::lock_guard Lock(Mutex);
  return Ids.contains(Id);
}

} // namespace magnolia::daemon
