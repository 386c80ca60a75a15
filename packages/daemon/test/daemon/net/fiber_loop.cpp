#include "daemon/net/fiber_loop.h"

#include "daemon/net/clock.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/net/socket.h"

#include <sys/socket.h>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <future>
#include <stdexcept>
#include <string>
#include <utility>

namespace magnolia::daemon {

namespace {

using namespace std::chrono_literals;

// Timeout that only a wait without a wake-up reaches.
constexpr policy::Duration WaitTimeout = 20s;

struct SocketPair {
  UniqueFd Near;
  UniqueFd Far;
};

SocketPair connectedPair() {
  std::array<int, 2> Fds{};
  EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Fds.data()),
            0);
  return {.Near = UniqueFd(Fds[0]), .Far = UniqueFd(Fds[1])};
}

// Runs a function on a fiber and returns its result.
template <typename Function> auto onFiber(FiberLoop &Loop, Function Work) {
  std::promise<decltype(Work())> Result;
  Loop.spawn([&] { Result.set_value(Work()); });
  return Result.get_future().get();
}

std::string readOne(int Fd) {
  std::array<char, 16> Buffer{};
  if (!waitReadable(Fd, now() + WaitTimeout)) {
    return "deadline";
  }
  const auto Count = receiveSome(Fd, Buffer);
  return Count > 0 ? std::string(Buffer.data(), static_cast<std::size_t>(Count))
                   : "nothing";
}

void write(int Fd, std::string_view Text) {
  EXPECT_TRUE(sendAll(Fd, Text, {}, now() + WaitTimeout));
}

} // namespace

// Guards against a loop that blocks its thread while one fiber waits.
TEST(FiberLoop, FibersWaitForEachOther) {
  FiberLoop Loop({});
  SocketPair Link = connectedPair();
  std::promise<std::string> Received;
  Loop.spawn([&] { Received.set_value(readOne(Link.Near.fd())); });
  Loop.spawn([&] { write(Link.Far.fd(), "a"); });
  EXPECT_EQ(Received.get_future().get(), "a");
}

// Guards against a signal that is lost because no fiber waits for it yet, or
// that leaves the loop asleep although it woke a fiber.
TEST(FiberLoop, ASignalWakesAFiberOfTheSameLoop) {
  FiberLoop Loop({});
  FiberSignal There;
  FiberSignal Back;
  std::promise<bool> Woken;
  Loop.spawn([&] {
    There.raise();
    Woken.set_value(waitReady({}, now() + WaitTimeout, {}, &Back));
  });
  Loop.spawn([&] {
    SocketPair Link = connectedPair();
    pollfd Entry{.fd = Link.Near.fd(), .events = POLLIN, .revents = POLLIN};
    EXPECT_TRUE(waitReady({&Entry, 1}, now() + WaitTimeout, {}, &There));
    EXPECT_EQ(Entry.revents, 0);
    Back.raise();
  });
  EXPECT_TRUE(Woken.get_future().get());
  // Each signal ends one wait.
  EXPECT_FALSE(
      onFiber(Loop, [&] { return waitReady({}, now() + 1ms, {}, &Back); }));
}

// Guards against timers that expire only when descriptors have events.
TEST(FiberLoop, WaitEndsAtItsDeadline) {
  FiberLoop Loop({});
  SocketPair Link = connectedPair();
  EXPECT_FALSE(
      onFiber(Loop, [&] { return waitReadable(Link.Near.fd(), now() + 1ms); }));
  EXPECT_FALSE(onFiber(Loop, [&] { return waitReady({}, now() + 1ms, {}); }));
}

// Guards against a connection that inherits the registration of an earlier one
// with the same descriptor number and then never wakes its fiber.
TEST(FiberLoop, ReusedDescriptorNumberIsRegisteredAgain) {
  FiberLoop Loop({});
  for (int Round = 0; Round < 3; ++Round) {
    SocketPair Link = connectedPair();
    write(Link.Far.fd(), "b");
    EXPECT_EQ(onFiber(Loop, [&] { return readOne(Link.Near.fd()); }), "b");
  }
}

// Guards against a busy loop over an event that no fiber waits for, and against
// losing it for a fiber that waits for it later.
TEST(FiberLoop, EventsBetweenWaitsAreKept) {
  FiberLoop Loop({});
  SocketPair Link = connectedPair();
  SocketPair Other = connectedPair();
  write(Link.Far.fd(), "c");
  EXPECT_TRUE(onFiber(
      Loop, [&] { return waitReadable(Link.Near.fd(), now() + WaitTimeout); }));
  // Epoll reports the unread byte while the fiber waits for another descriptor.
  EXPECT_FALSE(onFiber(
      Loop, [&] { return waitReadable(Other.Near.fd(), now() + 5ms); }));
  EXPECT_EQ(onFiber(Loop, [&] { return readOne(Link.Near.fd()); }), "c");
}

// Guards against a disconnected caller that goes unnoticed while its request
// runs.
TEST(FiberLoop, EndOfConnectionWakesOnlyItsWaiters) {
  FiberLoop Loop({});
  SocketPair Link = connectedPair();
  write(Link.Far.fd(), "next request");
  const auto WaitForEnd = [&](policy::TimePoint Deadline) {
    pollfd Entry{.fd = Link.Near.fd(), .events = POLLRDHUP, .revents = 0};
    return waitReady({&Entry, 1}, Deadline, {});
  };
  EXPECT_FALSE(onFiber(Loop, [&] { return WaitForEnd(now() + 2ms); }));
  ::shutdown(Link.Far.fd(), SHUT_RDWR);
  EXPECT_TRUE(onFiber(Loop, [&] { return WaitForEnd(now() + WaitTimeout); }));
}

// Guards against a wake-up that reaches only one of several waits on a
// descriptor.
TEST(FiberLoop, EveryWaiterOfADescriptorWakes) {
  FiberLoop Loop({});
  SocketPair Link = connectedPair();
  constexpr int Waiters = 5;
  std::array<std::promise<bool>, Waiters> Woken;
  for (auto &Next : Woken) {
    Loop.spawn([&] {
      Next.set_value(waitReadable(Link.Near.fd(), now() + WaitTimeout));
    });
  }
  write(Link.Far.fd(), "d");
  for (auto &Next : Woken) {
    EXPECT_TRUE(Next.get_future().get());
  }
}

// Guards against an exception that also ends other connections.
TEST(FiberLoop, ExceptionEndsItsFiberOnly) {
  FiberLoop Loop({});
  Loop.spawn([] { throw std::runtime_error("no memory"); });
  EXPECT_TRUE(onFiber(Loop, [] { return FiberLoop::current() != nullptr; }));
  EXPECT_EQ(FiberLoop::current(), nullptr);
}

// Guards against stacks that are leaked or used by two fibers at once.
TEST(FiberLoop, ManyFibersAtOnce) {
  FiberPool Pool(2, {});
  constexpr std::size_t Fibers = 500;
  std::vector<std::promise<bool>> Ended(Fibers);
  for (auto &Next : Ended) {
    Pool.spawn([&] {
      const std::array<std::promise<bool> *, 64> Copies{&Next};
      (void)waitReady({}, now() + 2ms, {});
      Next.set_value(Copies[0] == &Next);
    });
  }
  for (auto &Next : Ended) {
    EXPECT_TRUE(Next.get_future().get());
  }
}

} // namespace magnolia::daemon
