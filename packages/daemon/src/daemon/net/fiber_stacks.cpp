#include "daemon/net/fiber_stacks.h"

#include <boost/context/protected_fixedsize_stack.hpp>

namespace magnolia::daemon {

namespace {

// Free stacks that a loop keeps; each holds the pages it has touched.
constexpr std::size_t KeptStacks = 64;

} // namespace

struct FiberStacks::Kept {
  explicit Kept(std::size_t Bytes) : Source(Bytes) { Free.reserve(KeptStacks); }
  Kept(const Kept &) = delete;
  Kept &operator=(const Kept &) = delete;
  ~Kept() {
    for (boost::context::stack_context &Stack : Free) {
      Source.deallocate(Stack);
    }
  }

  boost::context::protected_fixedsize_stack Source;
  std::vector<boost::context::stack_context> Free;
};

FiberStacks::FiberStacks(std::size_t Bytes)
    : Shared(std::make_shared<Kept>(Bytes)) {}

boost::context::stack_context FiberStacks::allocate() {
  if (Shared->Free.empty()) {
    return Shared->Source.allocate();
  }
  const boost::context::stack_context Stack = Shared->Free.back();
  Shared->Free.pop_back();
  return Stack;
}

void FiberStacks::deallocate(boost::context::stack_context &Stack) noexcept {
  if (Shared->Free.size() < KeptStacks) {
    Shared->Free.push_back(Stack);
  } else {
    Shared->Source.deallocate(Stack);
  }
}

} // namespace magnolia::daemon
