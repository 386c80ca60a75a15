#ifndef DAEMON_SIDECAR_RUNNING_REQUESTS_H
#define DAEMON_SIDECAR_RUNNING_REQUESTS_H

#include "daemon/sidecar/running_request.h"
#include "policy/chain/route_loss_window.h"
#include "policy/core/types.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// Requests that the local backend server is running, by the request ids that
// callers set. Callers may send one id more than once.
class RunningRequests {
  using Entries = std::multimap<std::string, RunningRequest, std::less<>>;

public:
  // One running request, also among others with the same id. It is valid until
  // the request ends.
  class Handle {
    friend class RunningRequests;
    explicit Handle(Entries::iterator Place) : Place(Place) {}
    Entries::iterator Place;
  };

  [[nodiscard]] Handle begin(const std::string &Id, RunningRequest Started);
  // Ends the request. Failed is true if it did not succeed, nothing if it has
  // not run; a run is counted for its route.
  void end(Handle Ended, std::optional<bool> Failed, policy::TimePoint Now);

  // Records that a nested call of the requests with the id was rejected.
  // Returns false if none runs.
  bool markLostCall(std::string_view Id);

  // Switches the counts of runs on or off. They are off at first.
  void setCounting(bool On) { Counting = On; }
  // Returns the runs of the route in the last second; zeros if the counts are
  // off.
  [[nodiscard]] policy::RouteCounts counts(std::string_view Route,
                                           policy::TimePoint Now) const;

  [[nodiscard]] bool has(std::string_view Id) const;
  // Returns the request that began last with the id, or nothing if none runs.
  [[nodiscard]] std::optional<RunningRequest> find(std::string_view Id) const;

private:
  mutable std::mutex Mutex;
  Entries Requests;
  policy::RouteLossWindow Losses;
  std::atomic<bool> Counting = false;
};

} // namespace magnolia::daemon

#endif
