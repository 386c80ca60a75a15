#ifndef DAEMON_ENTRY_CALLER_WATCH_H
#define DAEMON_ENTRY_CALLER_WATCH_H

#include "daemon/net/fwd.h"
#include "policy/core/types.h"

#include <poll.h>

namespace magnolia::daemon {

// Tells one request whether its caller still waits for the response. While a
// request runs on the fiber of its connection, its waits also serve the
// connection.
class CallerWatch {
public:
  CallerWatch() = default;
  CallerWatch(const CallerWatch &) = delete;
  CallerWatch &operator=(const CallerWatch &) = delete;
  virtual ~CallerWatch() = default;

  // Descriptor, which may be negative, and events to include in a wait.
  [[nodiscard]] virtual pollfd entry() const = 0;
  // Signal that ends a wait on a fiber.
  [[nodiscard]] virtual FiberSignal *signal() = 0;
  // To be called after each wait, with the events that occurred on the entry.
  virtual void afterWait(short Seen, policy::TimePoint Now) = 0;
  // True once the response can no longer be delivered.
  [[nodiscard]] virtual bool isGone() const = 0;
};

} // namespace magnolia::daemon

#endif
