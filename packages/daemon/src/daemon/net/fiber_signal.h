#ifndef DAEMON_NET_FIBER_SIGNAL_H
#define DAEMON_NET_FIBER_SIGNAL_H

#include <functional>
#include <utility>

namespace magnolia::daemon {

// Wakes one fiber from another one of the same loop, without a system call. Not
// thread-safe. At most one fiber waits for a signal at a time.
class FiberSignal {
public:
  // Ends the wait that is in progress, or else the next one at its start.
  void raise() {
    Raised = true;
    if (End) {
      End();
    }
  }

private:
  friend class FiberLoop;

  [[nodiscard]] bool take() { return std::exchange(Raised, false); }

  bool Raised = false;
  // Ends the wait in progress; empty if there is none.
  std::function<void()> End;
};

} // namespace magnolia::daemon

#endif
