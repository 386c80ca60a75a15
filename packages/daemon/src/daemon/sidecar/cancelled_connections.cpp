#include "daemon/sidecar/cancelled_connections.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"

#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace magnolia::daemon {

namespace {

// True if the response is complete or the connection has ended.
bool hasEnded(BackendConnection &Connection) {
  for (int Reads = 0; Reads < BackendReadsPerTurn; ++Reads) {
    const auto Count =
        receiveSome(Connection.Socket.fd(), Connection.Reader.prepare());
    if (Count <= 0) {
      return Count < 0;
    }
    Connection.Reader.commit(static_cast<std::size_t>(Count));
    if (Connection.Reader.read() != HttpReadStatus::NeedMore) {
      return true;
    }
  }
  return false;
}

} // namespace

CancelledConnections::CancelledConnections(std::function<void()> Release)
    : Release(std::move(Release)), Wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      Thread([this] { run(); }) {}

CancelledConnections::~CancelledConnections() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  eventfd_write(Wake.fd(), 1);
  Thread.join();
}

void CancelledConnections::add(std::unique_ptr<BackendConnection> Connection,
                               policy::TimePoint Until) {
  ::shutdown(Connection->Socket.fd(), SHUT_WR);
  {
    const std::lock_guard Lock(Mutex);
    Added.push_back({.Connection = std::move(Connection), .Until = Until});
  }
  eventfd_write(Wake.fd(), 1);
}

std::size_t CancelledConnections::removeEnded() {
  const policy::TimePoint Now = now();
  return std::erase_if(Entries, [Now](Entry &Next) {
    return hasEnded(*Next.Connection) || Now >= Next.Until;
  });
}

void CancelledConnections::run() {
  for (;;) {
    std::vector<pollfd> Fds = {
        {.fd = Wake.fd(), .events = POLLIN, .revents = 0}};
    policy::TimePoint Next = policy::TimePoint::max();
    for (const Entry &Open : Entries) {
      Fds.push_back(
          {.fd = Open.Connection->Socket.fd(), .events = POLLIN, .revents = 0});
      Next = std::min(Next, Open.Until);
    }
    (void)waitReady(Fds, std::min(Next, now() + std::chrono::hours(1)), {});
    eventfd_t Ignored = 0;
    eventfd_read(Wake.fd(), &Ignored);
    {
      const std::lock_guard Lock(Mutex);
      if (Stopping) {
        return;
      }
      Entries.splice(Entries.end(), Added);
    }
    for (std::size_t Left = removeEnded(); Left > 0; --Left) {
      Release();
    }
  }
}

} // namespace magnolia::daemon
