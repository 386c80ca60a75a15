#include "daemon/net/fiber_pool.h"

#include <utility>

namespace magnolia::daemon {

FiberPool::FiberPool(std::size_t Threads, FiberLoop::Options Each) {
  for (std::size_t I = 0; I < Threads; ++I) {
    Loops.emplace_back(Each);
  }
  Next = Loops.begin();
}

void FiberPool::spawn(std::function<void()> Work) {
  FiberLoop *Chosen = nullptr;
  {
    const std::lock_guard Lock(Mutex);
    Chosen = &*Next;
    if (++Next == Loops.end()) {
      Next = Loops.begin();
    }
  }
  Chosen->spawn(std::move(Work));
}

} // namespace magnolia::daemon
