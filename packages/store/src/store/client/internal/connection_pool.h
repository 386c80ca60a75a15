#ifndef STORE_CLIENT_INTERNAL_CONNECTION_POOL_H
#define STORE_CLIENT_INTERNAL_CONNECTION_POOL_H

#include "store/client/http_store.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace httplib {
class Client;
}

namespace magnolia::store::internal {

// Connections to the store: each is used by one call at a time and kept for
// reuse after a complete response.
class ConnectionPool {
public:
  explicit ConnectionPool(const HttpStoreOptions &Options);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool &) = delete;
  ConnectionPool &operator=(const ConnectionPool &) = delete;

  // Null after close(). The call on the connection is aborted if it has not
  // ended soon after the deadline: the timeouts of the client bound single
  // reads only.
  [[nodiscard]] std::shared_ptr<httplib::Client>
  acquire(std::chrono::steady_clock::time_point Deadline);

  // Returns a connection to the pool. One with a lost response is not reused.
  void release(const std::shared_ptr<httplib::Client> &Connection,
               bool Reusable);

  // Aborts all calls in progress and returns when they have ended.
  void close();

private:
  struct Use {
    std::shared_ptr<httplib::Client> Connection;
    std::chrono::steady_clock::time_point AbortAt;
  };

  void abortLateCalls();

  std::string Address;
  std::uint16_t Port;
  std::size_t MaxIdle;
  std::mutex Mutex;
  std::condition_variable Returned;
  bool Closed = false;
  std::vector<std::shared_ptr<httplib::Client>> Idle;
  std::vector<Use> InUse;
  std::condition_variable Changed;
  std::thread Watcher;
};

} // namespace magnolia::store::internal

#endif
