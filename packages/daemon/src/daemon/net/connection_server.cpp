#include "daemon/net/connection_server.h"

#include "daemon/net/clock.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/net/linger.h"
#include "daemon/net/socket.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

namespace magnolia::daemon {

namespace {

// Pause after accept has failed, for example for lack of descriptors.
constexpr auto AcceptPause = std::chrono::milliseconds(10);

// Maximum number of connections that are told at the same time that they exceed
// the maximum; further ones are closed at once.
constexpr std::size_t MaximumRefusals = 64;

// Maximum time of one wait for a connection. A stop ends the wait earlier.
constexpr auto LongestAcceptWait = std::chrono::hours(1);

} // namespace

bool Session::waitForRequest(policy::TimePoint Deadline) const {
  std::array<pollfd, 2> Fds = {
      {{.fd = fd(), .events = POLLIN, .revents = 0},
       {.fd = StopFd, .events = POLLIN, .revents = 0}}};
  return waitReady(Fds, Deadline, {}) && Fds[0].revents != 0;
}

ConnectionServer::ConnectionServer(Options Opts)
    : Opts(std::move(Opts)), StopFd(::eventfd(0, EFD_CLOEXEC)),
      AcceptWake(::eventfd(0, EFD_CLOEXEC)) {}

ConnectionServer::~ConnectionServer() {
  stopAccepting();
  shutDownAll();
  std::unique_lock Lock(Mutex);
  Ended.wait(Lock, [this] { return Sessions.empty(); });
}

bool ConnectionServer::start(policy::Error &LastError) {
  Listener = listenTcp(Opts.Address, Opts.Port, LastError);
  if (!Listener.valid()) {
    return false;
  }
  Accepting = true;
  const auto Accept = [this] {
    acceptLoop();
    const std::lock_guard Lock(Mutex);
    Accepting = false;
    Ended.notify_all();
  };
  if (Opts.Fibers) {
    Opts.Fibers->spawn(Accept);
  } else {
    Acceptor = std::thread(Accept);
  }
  return true;
}

void ConnectionServer::stopAccepting() {
  if (Stopping.exchange(true) || !Listener.valid()) {
    return;
  }
  ::eventfd_write(AcceptWake.fd(), 1);
  {
    std::unique_lock Lock(Mutex);
    Ended.wait(Lock, [this] { return !Accepting; });
  }
  if (Acceptor.joinable()) {
    Acceptor.join();
  }
  Listener.reset();
}

void ConnectionServer::shutDownAll() {
  const std::lock_guard Lock(Mutex);
  for (const Session &Open : Sessions) {
    ::shutdown(Open.fd(), SHUT_RDWR);
  }
}

bool ConnectionServer::drain(policy::TimePoint Deadline) {
  ::eventfd_write(StopFd.fd(), 1);
  std::unique_lock Lock(Mutex);
  while (!Sessions.empty() && now() < Deadline) {
    Ended.wait_for(Lock, Deadline - now(), [this] { return Sessions.empty(); });
  }
  return Sessions.empty();
}

std::uint16_t ConnectionServer::port() const {
  return localPort(Listener.fd());
}

std::size_t ConnectionServer::connections() const {
  const std::lock_guard Lock(Mutex);
  return Sessions.size();
}

std::uint64_t ConnectionServer::refused() const { return Refused; }

void ConnectionServer::acceptLoop() {
  for (;;) {
    // Connections that were established before the stop are still accepted.
    const bool Last = Stopping;
    UniqueFd Fd(::accept4(Listener.fd(), nullptr, nullptr,
                          SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (Fd.valid()) {
      accepted(std::move(Fd));
    } else if (errno == EINTR || errno == ECONNABORTED) {
      continue;
    } else if (Last) {
      return;
    } else if (errno == EAGAIN) {
      awaitConnection();
    } else {
      (void)waitReady({}, now() + AcceptPause, {});
    }
  }
}

void ConnectionServer::awaitConnection() {
  std::array<pollfd, 2> Fds = {
      {{.fd = Listener.fd(), .events = POLLIN, .revents = 0},
       {.fd = AcceptWake.fd(), .events = POLLIN, .revents = 0}}};
  (void)waitReady(Fds, now() + LongestAcceptWait, {});
}

void ConnectionServer::accepted(UniqueFd Fd) {
  setUpSocket(Fd.fd());
  const std::lock_guard Lock(Mutex);
  const bool IsOver =
      Sessions.size() - Refusals >= Opts.Maximum && !endLingering();
  if (IsOver) {
    ++Refused;
    if (!Opts.Refuse || Refusals >= MaximumRefusals) {
      return;
    }
  }
  const auto It =
      Sessions.emplace(Sessions.begin(), std::move(Fd), StopFd.fd());
  It->IsRefused = IsOver;
  Refusals += IsOver ? 1 : 0;
  try {
    startServing(It);
  } catch (const std::system_error &) {
    // No thread could be started, so the connection is closed.
    ++Refused;
    Refusals -= IsOver ? 1 : 0;
    Sessions.erase(It);
  }
}

bool ConnectionServer::endLingering() {
  const auto Oldest =
      std::find_if(Sessions.rbegin(), Sessions.rend(), [](const Session &Open) {
        return Open.IsLingering && !Open.IsRefused;
      });
  if (Oldest == Sessions.rend()) {
    return false;
  }
  Oldest->IsLingering = false;
  ::shutdown(Oldest->fd(), SHUT_RD);
  return true;
}

void ConnectionServer::startServing(std::list<Session>::iterator It) {
  if (Opts.Fibers) {
    Opts.Fibers->spawn([this, It] { serve(It); });
  } else {
    std::thread([this, It] { serve(It); }).detach();
  }
}

void ConnectionServer::serveOrRefuse(Session &Open) {
  try {
    Open.IsRefused ? Opts.Refuse(Open) : Opts.Serve(Open);
  } catch (const std::exception &) {
    // The connection is closed, for example for lack of memory.
    ++Refused;
  }
}

void ConnectionServer::serve(std::list<Session>::iterator It) {
  serveOrRefuse(*It);
  {
    const std::lock_guard Lock(Mutex);
    It->IsLingering = true;
  }
  linger(It->fd(), It->Closing, It->LastOutput);
  const std::lock_guard Lock(Mutex);
  Refusals -= It->IsRefused ? 1 : 0;
  Sessions.erase(It);
  Ended.notify_all();
}

} // namespace magnolia::daemon
