#ifndef DAEMON_SIDECAR_RUNNING_REQUESTS_H
#define DAEMON_SIDECAR_RUNNING_REQUESTS_H

#include "daemon/sidecar/running_request.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// Requests that the local backend server is running, by the request ids that
// callers set. Callers may send one id more than once.
class RunningRequests {
public:
  void begin(const std::string &Id, RunningRequest Started);
  void end(std::string_view Id);

  [[nodiscard]] bool has(std::string_view Id) const;
  // Returns the request that began last with the id, or nothing if none runs.
  [[nodiscard]] std::optional<RunningRequest> find(std::string_view Id) const;

private:
  mutable std::mutex Mutex;
  std::multimap<std::string, RunningRequest, std::less<>> Requests;
};

} // namespace magnolia::daemon

#endif
