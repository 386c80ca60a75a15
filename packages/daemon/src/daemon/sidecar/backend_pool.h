#ifndef DAEMON_SIDECAR_BACKEND_POOL_H
#define DAEMON_SIDECAR_BACKEND_POOL_H

#include "daemon/http/reader.h"
#include "daemon/net/unique_fd.h"
#include "policy/core/types.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace magnolia::daemon {

// Persistent connection to the backend server.
struct BackendConnection {
  UniqueFd Socket;
  HttpReader Reader;
  // Address generation that the connection was opened for.
  std::uint64_t Generation = 0;
  bool Reused = false;
  policy::TimePoint IdleSince{};
};

// A backend server that closes a connection sooner than this after a response
// may have restarted, because idle timeouts are longer.
inline constexpr policy::Duration EarlyCloseTime =
    std::chrono::milliseconds(500);

// Reads from one connection, of up to 16 KiB or more each, before the deadline
// is checked and other work gets its turn. A backend server may send faster
// than its bytes are parsed.
inline constexpr int BackendReadsPerTurn = 64;

// Idle connections to the local backend server. The most recently used one is
// reused first, so that surplus connections time out and are closed.
class BackendPool {
public:
  // Responses take their memory from the given one; null for no limit on their
  // sum.
  BackendPool(HttpLimits Limits, BodyMemory *Memory)
      : Limits(Limits), Memory(Memory) {}

  // Changes the address and closes the idle connections to the old one.
  void setAddress(const std::string &NewAddress, std::uint16_t NewPort);
  // Closes all idle connections after the backend server has restarted.
  void closeAll();

  // Returns a connection that was idle for no longer than the given time, or
  // null. Sets ClosedEarly if the backend server closed a connection so early
  // that it may have restarted.
  [[nodiscard]] std::unique_ptr<BackendConnection>
  takeIdle(policy::TimePoint Now, policy::Duration LongestIdle,
           bool &ClosedEarly);
  // Opens a connection. Returns null if the backend server does not accept it.
  [[nodiscard]] std::unique_ptr<BackendConnection>
  open(policy::TimePoint Deadline);
  void give(std::unique_ptr<BackendConnection> Free, policy::TimePoint Now);

private:
  const HttpLimits Limits;
  BodyMemory *const Memory;
  mutable std::mutex Mutex;
  std::string Address;
  std::uint16_t Port = 0;
  std::uint64_t Generation = 0;
  std::vector<std::unique_ptr<BackendConnection>> Idle;
};

} // namespace magnolia::daemon

#endif
