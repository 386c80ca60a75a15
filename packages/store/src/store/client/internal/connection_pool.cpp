#include "store/client/internal/connection_pool.h"

#include <httplib.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>

namespace magnolia::store::internal {
namespace {

using Clock = std::chrono::steady_clock;

// TCP keepalive: idle time before the first probe, interval between probes, and
// number of unanswered probes after which the connection is closed. A
// connection may stop responding without a reset, also during a pending watch.
constexpr int KeepaliveIdleSeconds = 1;
constexpr int KeepaliveIntervalSeconds = 1;
constexpr int KeepaliveProbes = 2;

void setOption(socket_t Socket, int Level, int Name, int Value) {
  setsockopt(Socket, Level, Name, &Value, sizeof Value);
}

void enableKeepalive(socket_t Socket) {
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepaliveIdleSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepaliveIntervalSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepaliveProbes);
}

// A call that has acquired its connection but not yet connected cannot be
// stopped; a stop is retried at this interval.
constexpr std::chrono::milliseconds StopInterval{5};

// Time after its deadline that a call has to end by itself.
constexpr std::chrono::milliseconds AbortAfter{500};

} // namespace

ConnectionPool::ConnectionPool(const HttpStoreOptions &Options)
    : Address(Options.Address), Port(Options.Port),
      MaxIdle(Options.MaxIdleConnections),
      Watcher([this] { abortLateCalls(); }) {}

ConnectionPool::~ConnectionPool() {
  {
    const std::lock_guard Lock(Mutex);
    Closed = true;
  }
  Changed.notify_all();
  Watcher.join();
}

void ConnectionPool::abortLateCalls() {
  std::unique_lock Lock(Mutex);
  while (!Closed) {
    const Clock::time_point Now = Clock::now();
    Clock::time_point Next = Clock::time_point::max();
    for (const Use &Call : InUse) {
      if (Now >= Call.AbortAt) {
        Call.Connection->stop();
      }
      Next = std::min(Next, std::max(Call.AbortAt, Now + StopInterval));
    }
    if (InUse.empty()) {
      Changed.wait(Lock);
    } else {
      Changed.wait_until(Lock, Next);
    }
  }
}

std::shared_ptr<httplib::Client>
ConnectionPool::acquire(Clock::time_point Deadline) {
  const std::lock_guard Lock(Mutex);
  if (Closed)
    return nullptr;
  std::shared_ptr<httplib::Client> Connection;
  if (Idle.empty()) {
    Connection = std::make_shared<httplib::Client>(Address, Port);
    Connection->set_tcp_nodelay(true);
    Connection->set_keep_alive(true);
    Connection->set_socket_options(enableKeepalive);
  } else {
    Connection = std::move(Idle.back());
    Idle.pop_back();
  }
  InUse.push_back({.Connection = Connection, .AbortAt = Deadline + AbortAfter});
  Changed.notify_all();
  return Connection;
}

void ConnectionPool::release(const std::shared_ptr<httplib::Client> &Connection,
                             bool Reusable) {
  const std::lock_guard Lock(Mutex);
  std::erase_if(InUse, [&Connection](const Use &Call) {
    return Call.Connection == Connection;
  });
  if (Reusable && !Closed && Idle.size() < MaxIdle)
    Idle.push_back(Connection);
  Returned.notify_all();
}

void ConnectionPool::close() {
  std::unique_lock Lock(Mutex);
  Closed = true;
  Changed.notify_all();
  Idle.clear();
  while (!InUse.empty()) {
    for (const Use &Call : InUse)
      Call.Connection->stop();
    Returned.wait_for(Lock, StopInterval);
  }
}

} // namespace magnolia::store::internal
