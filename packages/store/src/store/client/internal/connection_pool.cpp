#include "store/client/internal/connection_pool.h"

#include <httplib.h>

#include <algorithm>
#include <chrono>

namespace magnolia::store::internal {
namespace {

// A call that has taken its connection but not yet connected cannot be
// stopped; close() tries again after this time.
constexpr std::chrono::milliseconds StopInterval{5};

} // namespace

ConnectionPool::ConnectionPool(const HttpStoreOptions &Options)
    : Address(Options.Address), Port(Options.Port),
      MaxIdle(Options.MaxIdleConnections) {}

ConnectionPool::~ConnectionPool() = default;

std::shared_ptr<httplib::Client> ConnectionPool::take() {
  const std::lock_guard Lock(Mutex);
  if (Closed)
    return nullptr;
  std::shared_ptr<httplib::Client> Connection;
  if (Idle.empty()) {
    Connection = std::make_shared<httplib::Client>(Address, Port);
    Connection->set_tcp_nodelay(true);
    Connection->set_keep_alive(true);
  } else {
    Connection = std::move(Idle.back());
    Idle.pop_back();
  }
  InUse.push_back(Connection);
  return Connection;
}

void ConnectionPool::give(const std::shared_ptr<httplib::Client> &Connection,
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
