#ifndef DAEMON_SIDECAR_CANCELLED_CONNECTIONS_H
#define DAEMON_SIDECAR_CANCELLED_CONNECTIONS_H

#include "daemon/net/unique_fd.h"
#include "daemon/sidecar/backend_pool.h"
#include "policy/core/types.h"

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace magnolia::daemon {

// Connections to the backend server whose request was cancelled. The sending
// side of each is shut down, and its slot is held until the backend server
// responds or closes the connection. Until then it may still process the
// request, so freeing the slot earlier would overload it.
class CancelledConnections {
public:
  explicit CancelledConnections(std::function<void()> Release);
  ~CancelledConnections();
  CancelledConnections(const CancelledConnections &) = delete;
  CancelledConnections &operator=(const CancelledConnections &) = delete;

  // Adds a connection whose slot is freed at the time Until at the latest.
  void add(std::unique_ptr<BackendConnection> Connection,
           policy::TimePoint Until);

private:
  struct Entry {
    std::unique_ptr<BackendConnection> Connection;
    policy::TimePoint Until{};
  };

  void run();
  // Removes the ended and expired entries and returns their number.
  [[nodiscard]] std::size_t removeEnded();

  const std::function<void()> Release;
  UniqueFd Wake;
  std::mutex Mutex;
  std::list<Entry> Added;
  bool Stopping = false;
  // Accessed by the thread only.
  std::list<Entry> Entries;
  std::thread Thread;
};

} // namespace magnolia::daemon

#endif
