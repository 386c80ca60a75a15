#ifndef DAEMON_SIDECAR_LINGERING_H
#define DAEMON_SIDECAR_LINGERING_H

#include "daemon/net/unique_fd.h"
#include "daemon/sidecar/backend_pool.h"
#include "policy/core/types.h"

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace magnolia::daemon {

// Connections to the backend server whose request was cancelled. Their input
// is ended, and each keeps its slot until the backend server ends the
// connection or answers: until then it may still work on the request, and a
// slot given away earlier would overload it.
class Lingering {
public:
  explicit Lingering(std::function<void()> Release);
  ~Lingering();
  Lingering(const Lingering &) = delete;
  Lingering &operator=(const Lingering &) = delete;

  // The slot is freed at the time Until at the latest.
  void add(std::unique_ptr<BackendConnection> Connection,
           policy::TimePoint Until);

private:
  struct Entry {
    std::unique_ptr<BackendConnection> Connection;
    policy::TimePoint Until{};
  };

  void run();
  // Removes the entries that are over and returns their number.
  [[nodiscard]] std::size_t removeEnded();

  const std::function<void()> Release;
  UniqueFd Wake;
  std::mutex Mutex;
  std::list<Entry> Added;
  bool Stopping = false;
  // Used by the thread only.
  std::list<Entry> Entries;
  std::thread Thread;
};

} // namespace magnolia::daemon

#endif
