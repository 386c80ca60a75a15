#ifndef STANDIN_STORE_STORE_SERVER_H
#define STANDIN_STORE_STORE_SERVER_H

#include "standin_store/counters.h"
#include "standin_store/fault.h"
#include "standin_store/kv_state.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace magnolia::standin {

struct StoreServerOptions {
  std::string Address = "127.0.0.1";
  // 0 lets the system choose a free port.
  std::uint16_t Port = 0;
  // Each open connection occupies one thread.
  std::size_t Threads = 32;
  HistoryLimits History = {};
};

// Stand-in for the platform's key-value store, with fault injection.
class StoreServer {
public:
  explicit StoreServer(StoreServerOptions Options);
  ~StoreServer();
  StoreServer(const StoreServer &) = delete;
  StoreServer &operator=(const StoreServer &) = delete;

  // Listens in its own thread. Returns false if the address is not available.
  bool start();
  void stop();
  void setFault(const Fault &NewFault);

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] Counters counters() const;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace magnolia::standin

#endif
