#ifndef DAEMON_NET_FIBER_STACKS_H
#define DAEMON_NET_FIBER_STACKS_H

#include <boost/context/stack_context.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace magnolia::daemon {

// Allocates the stacks of the fibers of one loop. Freed stacks are cached,
// because mapping one with its guard page takes three system calls. Copies
// share the cache.
class FiberStacks {
public:
  explicit FiberStacks(std::size_t Bytes);

  [[nodiscard]] boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context &Stack) noexcept;

private:
  struct Cache;
  std::shared_ptr<Cache> Shared;
};

} // namespace magnolia::daemon

#endif
