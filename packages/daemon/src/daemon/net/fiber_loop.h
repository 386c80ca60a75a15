#ifndef DAEMON_NET_FIBER_LOOP_H
#define DAEMON_NET_FIBER_LOOP_H

#include "daemon/net/adaptive_spin.h"
#include "daemon/net/fiber_signal.h"
#include "daemon/net/fiber_stacks.h"
#include "daemon/net/unique_fd.h"
#include "policy/core/types.h"

#include <boost/context/fiber.hpp>

#include <poll.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <span>
#include <thread>
#include <vector>

namespace magnolia::daemon {

// Event loop on one thread that runs many fibers: functions with their own
// stack that yield to other fibers while they wait for descriptors. Code on a
// fiber is written as for a thread, but must not hold a mutex across a wait.
class FiberLoop {
public:
  struct Options {
    std::size_t StackBytes = std::size_t{256} << 10;
    // Maximum time to poll without sleeping while waits are short.
    policy::Duration Spin{};
  };

  explicit FiberLoop(Options Opts);
  // All fibers must have ended before.
  ~FiberLoop();
  FiberLoop(const FiberLoop &) = delete;
  FiberLoop &operator=(const FiberLoop &) = delete;

  // Runs a function on a new fiber of this loop; may be called from any thread.
  // An exception that the function throws is logged and ends this fiber only.
  void spawn(std::function<void()> Work);

  // Returns the loop of the calling fiber, or null outside of fibers.
  [[nodiscard]] static FiberLoop *current();

  // Suspends the calling fiber of this loop until a descriptor is ready or the
  // deadline passes, like poll for a thread. The descriptors must not be closed
  // during the wait. A signal, which may be null, ends the wait like a ready
  // descriptor.
  [[nodiscard]] bool wait(std::span<pollfd> Fds, policy::TimePoint Deadline,
                          FiberSignal *Signal = nullptr);

private:
  struct Fiber {
    std::function<void()> Work;
    // Continuation of the fiber; empty while it runs.
    boost::context::fiber Resume;
    bool Ended = false;
    std::list<Fiber>::iterator It;
  };
  struct Wait;
  using Timers = std::multimap<policy::TimePoint, Wait *>;
  // Wait of a fiber, stored on the stack of that fiber.
  struct Wait {
    Fiber *Owner = nullptr;
    std::span<pollfd> Fds;
    Timers::iterator Timer;
    bool Fired = false;
    bool Queued = false;
  };
  struct Watcher {
    Wait *Waiting = nullptr;
    pollfd *Entry = nullptr;
  };
  // State of the loop for a descriptor number.
  struct Descriptor {
    // Events registered with epoll; 0 if the descriptor is not registered.
    std::uint32_t Registered = 0;
    // Close count of the number at its registration.
    std::uint32_t CloseCount = 0;
    std::vector<Watcher> Watchers;
  };

  void run();
  void startSpawned();
  void resume(Fiber &Next);
  void suspend();
  void sleep();
  [[nodiscard]] int millisecondsLeft(policy::TimePoint Now) const;
  void dispatch(std::uint64_t Tag, std::uint32_t Events);
  void expire(policy::TimePoint Now);
  void wake(Wait &Ended);
  void watch(Wait &Waiting, pollfd &Entry);
  void unwatch(const Wait &Waiting, const pollfd &Entry);
  void reregister(int Fd, Descriptor &Known, std::uint32_t Events);

  const Options Opts;
  FiberStacks Stacks;
  UniqueFd Epoll;
  UniqueFd WakeFd;
  AdaptiveSpin Spinner;
  std::list<Fiber> Fibers;
  std::vector<Fiber *> Ready;
  std::vector<Descriptor> Descriptors;
  Timers Deadlines;
  Fiber *Running = nullptr;
  // Continuation of the loop itself while a fiber runs.
  boost::context::fiber Scheduler;

  std::mutex Mutex;
  std::vector<std::function<void()>> Spawned;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace magnolia::daemon

#endif
