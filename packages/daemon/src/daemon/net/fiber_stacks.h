#ifndef DAEMON_NET_FIBER_STACKS_H
#define DAEMON_NET_FIBER_STACKS_H

#include <boost/context/stack_context.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace magnolia::daemon {

// Stacks of the fibers of one loop, kept for the next fiber because mapping
// one with its guard page takes three system calls. Copies share the stacks.
class FiberStacks {
public:
  explicit FiberStacks(std::size_t Bytes);

  [[nodiscard]] boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context &Stack) noexcept;

private:
  struct Kept;
  std::shared_ptr<Kept> Shared;
};

} // namespace magnolia::daemon

#endif
