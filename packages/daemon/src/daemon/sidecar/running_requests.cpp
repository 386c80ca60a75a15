#include "daemon/sidecar/running_requests.h"

#include "policy/chain/count_runs.h"

#include <iterator>
#include <utility>

namespace magnolia::daemon {

RunningRequests::Handle RunningRequests::begin(const std::string &Id,
                                               RunningRequest Started) {
  const std::lock_guard Lock(Mutex);
  return Handle(Requests.emplace(Id, std::move(Started)));
}

void RunningRequests::end(Handle Ended, std::optional<bool> Failed,
                          policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  const RunningRequest &Request = Ended.Place->second;
  if (Failed && Counting) {
    policy::countRun(Losses, Request.Route, *Failed && Request.LostCall, Now);
  }
  Requests.erase(Ended.Place);
}

bool RunningRequests::markLostCall(std::string_view Id) {
  const std::lock_guard Lock(Mutex);
  const auto [First, Last] = Requests.equal_range(Id);
  for (auto Next = First; Next != Last; ++Next) {
    Next->second.LostCall = true;
  }
  return First != Last;
}

policy::RouteCounts RunningRequests::counts(std::string_view Route,
                                            policy::TimePoint Now) const {
  if (!Counting) {
    return {};
  }
  const std::lock_guard Lock(Mutex);
  return policy::countsOf(Losses, Route, Now);
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
