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

// Keep-alive connection to the backend server.
struct BackendConnection {
  UniqueFd Socket;
  HttpReader Reader;
  // Number of the target it was opened for.
  std::uint64_t Target = 0;
  bool Reused = false;
  policy::TimePoint IdleSince{};
};

// A backend server that closes a connection sooner than this after an answer
// may have restarted: time limits on idle connections are longer.
inline constexpr policy::Duration SuspiciousIdleTime =
    std::chrono::milliseconds(500);

// Idle connections to the own backend server. The last one used is the first
// one to be used again, so that surplus ones become idle and are closed.
class BackendPool {
public:
  explicit BackendPool(HttpLimits Limits) : Limits(Limits) {}

  // Changes the backend server and closes the idle connections to the old one.
  void retarget(const std::string &NewAddress, std::uint16_t NewPort);
  // Closes all idle connections, because the backend server restarted.
  void closeAll();

  // Connection that was idle for no longer than the given time, or null.
  // Suspicious is set where the backend server has closed one so early that it
  // may have restarted.
  [[nodiscard]] std::unique_ptr<BackendConnection>
  takeIdle(policy::TimePoint Now, policy::Duration LongestIdle,
           bool &Suspicious);
  // New connection, or null where the backend server does not accept it.
  [[nodiscard]] std::unique_ptr<BackendConnection>
  open(policy::TimePoint Deadline);
  void give(std::unique_ptr<BackendConnection> Free, policy::TimePoint Now);

private:
  const HttpLimits Limits;
  mutable std::mutex Mutex;
  std::string Address;
  std::uint16_t Port = 0;
  std::uint64_t Target = 0;
  std::vector<std::unique_ptr<BackendConnection>> Idle;
};

} // namespace magnolia::daemon

#endif
