#ifndef DAEMON_NET_FIBER_POOL_H
#define DAEMON_NET_FIBER_POOL_H

#include "daemon/net/fiber_loop.h"

#include <cstddef>
#include <functional>
#include <list>
#include <mutex>

namespace magnolia::daemon {

// Loops that run the traffic of a node. New fibers are assigned round robin.
class FiberPool {
public:
  FiberPool(std::size_t Threads, FiberLoop::Options Each);

  // Runs a function on a new fiber, which stays on the loop it is assigned to.
  void spawn(std::function<void()> Work);

private:
  std::list<FiberLoop> Loops;
  std::list<FiberLoop>::iterator Next;
  std::mutex Mutex;
};

} // namespace magnolia::daemon

#endif
