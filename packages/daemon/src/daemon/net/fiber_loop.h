#ifndef DAEMON_NET_FIBER_LOOP_H
#define DAEMON_NET_FIBER_LOOP_H

#include "daemon/net/fiber_stacks.h"
#include "daemon/net/spin_gate.h"
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

// One thread that runs many fibers: functions with a stack of their own that
// give the thread to others while they wait for descriptors. Code on a fiber
// is written as for a thread, and holds no mutex across a wait.
class FiberLoop {
public:
  struct Options {
    std::size_t StackBytes = std::size_t{256} << 10;
    // Time to poll without sleep where waits are short.
    policy::Duration Spin{};
  };

  explicit FiberLoop(Options Given);
  // Every fiber must have ended.
  ~FiberLoop();
  FiberLoop(const FiberLoop &) = delete;
  FiberLoop &operator=(const FiberLoop &) = delete;

  // Runs a function on a new fiber of this loop; from any thread. An exception
  // that leaves it is logged and ends this fiber only.
  void spawn(std::function<void()> Work);

  // Loop whose fiber calls this, or null.
  [[nodiscard]] static FiberLoop *current();

  // Suspends the calling fiber until a descriptor is ready or the deadline
  // passes, as poll does for a thread. A descriptor waited for must not be
  // closed meanwhile. Only for fibers of this loop.
  [[nodiscard]] bool wait(std::span<pollfd> Fds, policy::TimePoint Deadline);

private:
  struct Fiber {
    std::function<void()> Work;
    // Where the fiber goes on; empty while it runs.
    boost::context::fiber Resume;
    bool Ended = false;
    std::list<Fiber>::iterator Place;
  };
  struct Wait;
  using Timers = std::multimap<policy::TimePoint, Wait *>;
  // A fiber that waits, on its own stack.
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
  // What the loop knows of a descriptor number.
  struct Descriptor {
    // Events that epoll reports now; 0: not registered.
    std::uint32_t Registered = 0;
    // Closings of the number when it was registered.
    std::uint32_t Closings = 0;
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

  const Options Given;
  FiberStacks Stacks;
  UniqueFd Epoll;
  UniqueFd WakeFd;
  SpinGate Gate;
  std::list<Fiber> Fibers;
  std::vector<Fiber *> Ready;
  std::vector<Descriptor> Descriptors;
  Timers Deadlines;
  Fiber *Running = nullptr;
  // The loop itself while a fiber runs.
  boost::context::fiber Scheduler;

  std::mutex Mutex;
  std::vector<std::function<void()>> Spawned;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace magnolia::daemon

#endif
