#include "daemon/net/fiber_loop.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <exception>
#include <string_view>
#include <utility>

namespace magnolia::daemon {

namespace {

// Maximum number of events taken from epoll in one call.
constexpr std::size_t EventBatch = 64;

// Maximum sleep if no timer is set.
constexpr std::chrono::milliseconds LongestSleep{60'000};

constexpr std::uint32_t Failures = EPOLLERR | EPOLLHUP;

static_assert(EPOLLIN == POLLIN && EPOLLOUT == POLLOUT &&
                  EPOLLRDHUP == POLLRDHUP && EPOLLERR == POLLERR &&
                  EPOLLHUP == POLLHUP,
              "poll events are passed to epoll unchanged");

thread_local FiberLoop *CurrentLoop = nullptr;

// The tag that epoll returns with an event holds the descriptor and the close
// count of its number, so that an event of an earlier file is recognised.
constexpr int CloseCountShift = 32;

std::uint64_t tagOf(int Fd, std::uint32_t CloseCount) {
  return std::uint64_t{CloseCount} << CloseCountShift |
         static_cast<std::uint32_t>(Fd);
}

// A fiber that waits for input also waits for the end of input at another time,
// and vice versa, so one registration covers both.
std::uint32_t registration(short Wanted) {
  std::uint32_t Events = static_cast<std::uint16_t>(Wanted);
  if ((Events & (EPOLLIN | EPOLLRDHUP)) != 0) {
    Events |= EPOLLRDHUP;
  }
  return Events;
}

} // namespace

FiberLoop *FiberLoop::current() {
  return CurrentLoop && CurrentLoop->Running ? CurrentLoop : nullptr;
}

FiberLoop::FiberLoop(Options Opts)
    : Opts(Opts), Stacks(Opts.StackBytes),
      Epoll(::epoll_create1(EPOLL_CLOEXEC)),
      WakeFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event Event{
      .events = EPOLLIN,
      .data = {.u64 = tagOf(WakeFd.fd(), closeCount(WakeFd.fd()))}};
  ::epoll_ctl(Epoll.fd(), EPOLL_CTL_ADD, WakeFd.fd(), &Event);
  Thread = std::thread([this] { run(); });
}

FiberLoop::~FiberLoop() {
  Stopping = true;
  ::eventfd_write(WakeFd.fd(), 1);
  Thread.join();
}

void FiberLoop::spawn(std::function<void()> Work) {
  {
    const std::lock_guard Lock(Mutex);
    Spawned.push_back(std::move(Work));
  }
  // The loop itself checks for spawned fibers before it sleeps.
  if (CurrentLoop != this) {
    ::eventfd_write(WakeFd.fd(), 1);
  }
}

void FiberLoop::run() {
  CurrentLoop = this;
  std::vector<Fiber *> Batch;
  while (!Stopping) {
    startSpawned();
    Batch.swap(Ready);
    for (Fiber *Next : Batch) {
      resume(*Next);
    }
    Batch.clear();
    sleep();
  }
}

void FiberLoop::startSpawned() {
  std::vector<std::function<void()>> New;
  {
    const std::lock_guard Lock(Mutex);
    New.swap(Spawned);
  }
  for (std::function<void()> &Work : New) {
    Fiber &NewFiber = Fibers.emplace_front();
    NewFiber.Work = std::move(Work);
    NewFiber.It = Fibers.begin();
    NewFiber.Resume = boost::context::fiber(
        std::allocator_arg, Stacks,
        [this, &NewFiber](boost::context::fiber &&To) {
          Scheduler = std::move(To);
          try {
            NewFiber.Work();
          } catch (const std::exception &Reason) {
            log(LogLevel::Error, "connection ended by an exception",
                {{"reason", std::string_view(Reason.what())}});
          }
          NewFiber.Ended = true;
          return std::move(Scheduler);
        });
    resume(NewFiber);
  }
}

void FiberLoop::resume(Fiber &Next) {
  Running = &Next;
  Next.Resume = std::move(Next.Resume).resume();
  Running = nullptr;
  if (Next.Ended) {
    Fibers.erase(Next.It);
  }
}

void FiberLoop::suspend() { Scheduler = std::move(Scheduler).resume(); }

int FiberLoop::millisecondsLeft(policy::TimePoint Now) const {
  if (Deadlines.empty()) {
    return static_cast<int>(LongestSleep.count());
  }
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      Deadlines.begin()->first - Now);
  return static_cast<int>(
      std::clamp(Left, std::chrono::milliseconds{0}, LongestSleep).count());
}

void FiberLoop::sleep() {
  {
    const std::lock_guard Lock(Mutex);
    if (!Spawned.empty()) {
      return;
    }
  }
  std::array<epoll_event, EventBatch> Events;
  const auto Take = [this, &Events](int Milliseconds) {
    return ::epoll_wait(Epoll.fd(), Events.data(),
                        static_cast<int>(Events.size()), Milliseconds);
  };
  const policy::TimePoint Start = now();
  // A fiber of the last batch may have woken another one.
  const int Longest = Ready.empty() ? millisecondsLeft(Start) : 0;
  int Count = 0;
  const policy::Duration Spin = Spinner.spin(Opts.Spin);
  if (Spin > policy::Duration{0} && Longest > 0) {
    do {
      Count = Take(0);
    } while (Count == 0 && now() < Start + Spin);
  }
  if (Count == 0) {
    Count = Take(Longest);
  }
  for (int I = 0; I < Count; ++I) {
    const epoll_event &Next = Events[static_cast<std::size_t>(I)];
    dispatch(Next.data.u64, Next.events);
  }
  const policy::TimePoint End = now();
  if (Opts.Spin > policy::Duration{0}) {
    Spinner.record(End - Start);
  }
  expire(End);
}

void FiberLoop::dispatch(std::uint64_t Tag, std::uint32_t Events) {
  const int Fd = static_cast<int>(Tag & UINT32_MAX);
  if (Fd == WakeFd.fd()) {
    eventfd_t Ignored = 0;
    ::eventfd_read(Fd, &Ignored);
    return;
  }
  Descriptor &Known = Descriptors[static_cast<std::size_t>(Fd)];
  if (Tag != tagOf(Fd, Known.CloseCount) ||
      Known.CloseCount != closeCount(Fd)) {
    return;
  }
  std::uint32_t Wanted = 0;
  bool Awaited = false;
  for (const Watcher &Next : Known.Watchers) {
    const std::uint32_t Interest = registration(Next.Entry->events);
    Wanted |= Interest;
    const std::uint32_t Seen =
        Events & (static_cast<std::uint16_t>(Next.Entry->events) | Failures);
    if (Seen != 0) {
      Next.Entry->revents = static_cast<short>(Seen);
      wake(*Next.Waiting);
      Awaited = true;
    }
  }
  // Epoll would report events that no fiber waits for again and again.
  if (!Awaited) {
    reregister(Fd, Known, Wanted & ~Events);
  }
}

void FiberLoop::expire(policy::TimePoint Now) {
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    Wait &Expired = *Deadlines.begin()->second;
    Deadlines.erase(Expired.Timer);
    Expired.Timer = Deadlines.end();
    if (!Expired.Queued) {
      Expired.Queued = true;
      Ready.push_back(Expired.Owner);
    }
  }
}

void FiberLoop::wake(Wait &Ended) {
  Ended.Fired = true;
  if (!Ended.Queued) {
    Ended.Queued = true;
    Ready.push_back(Ended.Owner);
  }
}

bool FiberLoop::wait(std::span<pollfd> Fds, policy::TimePoint Deadline,
                     FiberSignal *Signal) {
  Wait Own{.Owner = Running, .Fds = Fds};
  if (Signal && Signal->take()) {
    for (pollfd &Entry : Fds) {
      Entry.revents = 0;
    }
    return true;
  }
  for (pollfd &Entry : Fds) {
    watch(Own, Entry);
  }
  Own.Timer = Deadlines.emplace(Deadline, &Own);
  if (Signal) {
    Signal->End = [this, &Own] { wake(Own); };
  }
  suspend();
  if (Signal) {
    Signal->End = nullptr;
    (void)Signal->take();
  }
  if (Own.Timer != Deadlines.end()) {
    Deadlines.erase(Own.Timer);
  }
  for (const pollfd &Entry : Fds) {
    unwatch(Own, Entry);
  }
  return Own.Fired;
}

void FiberLoop::watch(Wait &Waiting, pollfd &Entry) {
  Entry.revents = 0;
  if (Entry.fd < 0) {
    return;
  }
  const auto Number = static_cast<std::size_t>(Entry.fd);
  if (Number >= Descriptors.size()) {
    Descriptors.resize(Number + 1);
  }
  Descriptor &Known = Descriptors[Number];
  const std::uint32_t CloseCount = closeCount(Entry.fd);
  if (Known.CloseCount != CloseCount) {
    Known.Registered = 0;
    Known.CloseCount = CloseCount;
  }
  const std::uint32_t Wanted = registration(Entry.events);
  if ((Known.Registered & Wanted) != Wanted) {
    reregister(Entry.fd, Known, Known.Registered | Wanted);
  }
  Known.Watchers.push_back({.Waiting = &Waiting, .Entry = &Entry});
}

void FiberLoop::unwatch(const Wait &Waiting, const pollfd &Entry) {
  if (Entry.fd < 0) {
    return;
  }
  auto &Watchers = Descriptors[static_cast<std::size_t>(Entry.fd)].Watchers;
  const auto It =
      std::find_if(Watchers.begin(), Watchers.end(), [&](const Watcher &Next) {
        return Next.Waiting == &Waiting && Next.Entry == &Entry;
      });
  std::swap(*It, Watchers.back());
  Watchers.pop_back();
}

void FiberLoop::reregister(int Fd, Descriptor &Known, std::uint32_t Events) {
  epoll_event Event{.events = Events,
                    .data = {.u64 = tagOf(Fd, Known.CloseCount)}};
  if (Events == 0) {
    ::epoll_ctl(Epoll.fd(), EPOLL_CTL_DEL, Fd, &Event);
  } else if (::epoll_ctl(Epoll.fd(),
                         Known.Registered == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
                         Fd, &Event) != 0) {
    // The number now belongs to another file, or the file is still registered.
    ::epoll_ctl(Epoll.fd(), errno == EEXIST ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, Fd,
                &Event);
  }
  Known.Registered = Events;
}

} // namespace magnolia::daemon
