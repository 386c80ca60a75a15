#ifndef STORE_CLIENT_INTERNAL_CONNECTION_POOL_H
#define STORE_CLIENT_INTERNAL_CONNECTION_POOL_H

#include "store/client/http_store.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace magnolia::store::internal {

class StoreConnection;

// Connections to the store: each is used by one call at a time and kept for
// reuse after a complete response.
class ConnectionPool {
public:
  explicit ConnectionPool(const HttpStoreOptions &Options);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool &) = delete;
  ConnectionPool &operator=(const ConnectionPool &) = delete;

  // Null after close().
  [[nodiscard]] std::shared_ptr<StoreConnection> acquire();

  // Returns a connection to the pool. One with a lost response is not reused.
  void release(const std::shared_ptr<StoreConnection> &Connection,
               bool Reusable);

  // Aborts all calls in progress and returns when they have ended.
  void close();

private:
  std::string Address;
  std::uint16_t Port;
  std::size_t MaxIdle;
  std::mutex Mutex;
  std::condition_variable Returned;
  bool Closed = false;
  std::vector<std::shared_ptr<StoreConnection>> Idle;
  std::vector<std::shared_ptr<StoreConnection>> InUse;
};

} // namespace magnolia::store::internal

#endif
