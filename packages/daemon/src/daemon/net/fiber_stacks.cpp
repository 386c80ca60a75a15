#include "daemon/net/fiber_stacks.h"

#include <boost/context/protected_fixedsize_stack.hpp>

namespace magnolia::daemon {

namespace {

// Maximum number of free stacks cached per loop. Each keeps the memory pages
// that it has used.
constexpr std::size_t MaxCachedStacks = 64;

} // namespace

struct FiberStacks::Cache {
  explicit Cache(std::size_t Bytes) : Source(Bytes) {
    Free.reserve(MaxCachedStacks);
  }
  Cache(const Cache &) = delete;
  Cache &operator=(const Cache &) = delete;
  ~Cache() {
    for (boost::context::stack_context &Stack : Free) {
      Source.deallocate(Stack);
    }
  }

  boost::context::protected_fixedsize_stack Source;
  std::vector<boost::context::stack_context> Free;
};

FiberStacks::FiberStacks(std::size_t Bytes)
    : Shared(std::make_shared<Cache>(Bytes)) {}

boost::context::stack_context FiberStacks::allocate() {
  if (Shared->Free.empty()) {
    return Shared->Source.allocate();
  }
  const boost::context::stack_context Stack = Shared->Free.back();
  Shared->Free.pop_back();
  return Stack;
}

void FiberStacks::deallocate(boost::context::stack_context &Stack) noexcept {
  if (Shared->Free.size() < MaxCachedStacks) {
    Shared->Free.push_back(Stack);
  } else {
    Shared->Source.deallocate(Stack);
  }
}

} // namespace magnolia::daemon
