#ifndef DAEMON_NET_FIBER_POOL_H
#define DAEMON_NET_FIBER_POOL_H

#include "daemon/net/fiber_loop.h"

#include <cstddef>
#include <functional>
#include <list>
#include <mutex>

namespace magnolia::daemon {

// The traffic threads of a node: loops that take new fibers in turn.
class FiberPool {
public:
  FiberPool(std::size_t Threads, FiberLoop::Options Each);

  // A fiber stays on the loop that it was given to.
  void spawn(std::function<void()> Work);

private:
  std::list<FiberLoop> Loops;
  std::list<FiberLoop>::iterator Next;
  std::mutex Mutex;
};

} // namespace magnolia::daemon

#endif
