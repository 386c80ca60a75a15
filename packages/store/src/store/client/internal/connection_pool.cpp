#include "store/client/internal/connection_pool.h"

#include <httplib.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>

namespace magnolia::store::internal {
namespace {

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
// stopped; close() retries at this interval.
constexpr std::chrono::milliseconds StopInterval{5};

} // namespace

ConnectionPool::ConnectionPool(const HttpStoreOptions &Options)
    : Address(Options.Address), Port(Options.Port),
      MaxIdle(Options.MaxIdleConnections) {}

ConnectionPool::~ConnectionPool() = default;

std::shared_ptr<httplib::Client> ConnectionPool::acquire() {
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
  InUse.push_back(Connection);
  return Connection;
}

void ConnectionPool::release(const std::shared_ptr<httplib::Client> &Connection,
                             bool Reusable) {
  const std::lock_guard Lock(Mutex);
  InUse.erase(std::remove(InUse.begin(), InUse.end(), Connection), InUse.end());
  if (Reusable && !Closed && Idle.size() < MaxIdle)
    Idle.push_back(Connection);
  Returned.notify_all();
}

void ConnectionPool::close() {
  std::unique_lock Lock(Mutex);
  Closed = true;
  Idle.clear();
  while (!InUse.empty()) {
    for (const auto &Connection : InUse)
      Connection->stop();
    Returned.wait_for(Lock, StopInterval);
  }
}

} // namespace magnolia::store::internal
