#ifndef DAEMON_SIDECAR_RUNNING_REQUESTS_H
#define DAEMON_SIDECAR_RUNNING_REQUESTS_H

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// Requests that the local backend server is running, by the request ids that
// callers set.
class RunningRequests {
public:
  void begin(const std::string &Id);
  void end(std::string_view Id);

  [[nodiscard]] bool has(std::string_view Id) const;

private:
  mutable std::mutex Mutex;
  std::multiset<std::string, std::less<>> Ids;
};

} // namespace magnolia::daemon

#endif
