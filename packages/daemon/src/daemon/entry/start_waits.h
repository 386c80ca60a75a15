#ifndef DAEMON_ENTRY_START_WAITS_H
#define DAEMON_ENTRY_START_WAITS_H

#include "policy/overload/await_backends.h"

#include <mutex>
#include <optional>

namespace magnolia::daemon {

// Requests that wait because their entry node has just started and knows no
// backend server yet, shared by all its traffic threads.
class StartWaits {
public:
  explicit StartWaits(policy::TimePoint NodeStart)
      : State{.NodeStart = NodeStart} {}

  // True while requests may wait.
  [[nodiscard]] bool isOpen(policy::TimePoint Now) const {
    return policy::isStarting(State.NodeStart, Now);
  }

  // Returns the time until which the request waits, or nothing if it does not
  // wait. Each wait must be ended.
  [[nodiscard]] std::optional<policy::TimePoint>
  begin(const policy::UnservedRequest &Request, policy::TimePoint Now);
  void end();

private:
  std::mutex Mutex;
  // NodeStart does not change.
  policy::BackendWaits State;
};

} // namespace magnolia::daemon

#endif
