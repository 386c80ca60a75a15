#include "store/client/internal/connection_pool.h"

#include "store/client/internal/store_connection.h"

#include <chrono>

namespace magnolia::store::internal {
namespace {

// A call that has acquired its connection but not yet started its exchange
// cannot be stopped; a stop is retried at this interval.
constexpr std::chrono::milliseconds StopInterval{5};

} // namespace

ConnectionPool::ConnectionPool(const HttpStoreOptions &Options)
    : Address(Options.Address), Port(Options.Port),
      MaxIdle(Options.MaxIdleConnections) {}

ConnectionPool::~ConnectionPool() = default;

std::shared_ptr<StoreConnection> ConnectionPool::acquire() {
  const std::lock_guard Lock(Mutex);
  if (Closed)
    return nullptr;
  std::shared_ptr<StoreConnection> Connection;
  if (Idle.empty()) {
    Connection = std::make_shared<StoreConnection>(Address, Port);
  } else {
    Connection = std::move(Idle.back());
    Idle.pop_back();
  }
  InUse.push_back(Connection);
  return Connection;
}

void ConnectionPool::release(const std::shared_ptr<StoreConnection> &Connection,
                             bool Reusable) {
  const std::lock_guard Lock(Mutex);
  std::erase(InUse, Connection);
  if (Reusable && !Closed && Idle.size() < MaxIdle)
    Idle.push_back(Connection);
  Returned.notify_all();
}

void ConnectionPool::close() {
  std::unique_lock Lock(Mutex);
  Closed = true;
  Idle.clear();
  while (!InUse.empty()) {
    for (const auto &Call : InUse)
      Call->stop();
    Returned.wait_for(Lock, StopInterval);
  }
}

} // namespace magnolia::store::internal
