#ifndef DAEMON_ENTRY_PROBER_H
#define DAEMON_ENTRY_PROBER_H

#include "daemon/entry/entry.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace magnolia::daemon {

// Probes sidecars without a fresh load report, within the probe budget of each
// service, and closes idle peer connections.
class Prober {
public:
  explicit Prober(Entry &Owner);
  ~Prober();
  Prober(const Prober &) = delete;
  Prober &operator=(const Prober &) = delete;

private:
  void run();
  // Returns the time until the budget of a service may allow the next probe.
  [[nodiscard]] policy::Duration probeServices();
  void probeService(ServiceRuntime &Runtime);

  Entry &Owner;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace magnolia::daemon

#endif
