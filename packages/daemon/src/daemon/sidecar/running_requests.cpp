#include "daemon/sidecar/running_requests.h"

#include <iterator>
#include <utility>

namespace magnolia::daemon {

void RunningRequests::begin(const std::string &Id, RunningRequest Started) {
  const std::lock_guard Lock(Mutex);
  Requests.emplace(Id, std::move(Started));
}

void RunningRequests::end(std::string_view Id) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Requests.find(Id);
  if (Found != Requests.end()) {
    Requests.erase(Found);
  }
}

bool RunningRequests::has(std::string_view Id) const {
  const std::lock_guard Lock(Mutex);
  return Requests.contains(Id);
}

std::optional<RunningRequest> RunningRequests::find(std::string_view Id) const {
  const std::lock_guard Lock(Mutex);
  const auto After = Requests.upper_bound(Id);
  if (After == Requests.begin() || std::prev(After)->first != Id) {
    return std::nullopt;
  }
  return std::prev(After)->second;
}

} // namespace magnolia::daemon
