#ifndef DAEMON_CONTROL_CONTROL_CLIENT_H
#define DAEMON_CONTROL_CONTROL_CLIENT_H

#include "daemon/control/control_endpoint.h"
#include "daemon/net/unique_fd.h"
#include "policy/core/types.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>

namespace magnolia::wire {
class ControlBody;
class SealedMessage;
} // namespace magnolia::wire

namespace magnolia::daemon {

class FiberPool;

// Receives the response, or nothing if the call failed.
using ControlCallback =
    std::function<void(std::optional<wire::ControlBody> Response)>;

inline constexpr policy::Duration ControlCallTimeout = std::chrono::seconds(2);

// Calls the control servers of other nodes without blocking. Each call runs on
// a fiber, and so does its callback. The numbers of calls in flight and of idle
// connections are bounded.
class ControlClient {
public:
  // The fibers must outlive the client.
  ControlClient(std::string ClusterKey, policy::NodeId Self, FiberPool &Fibers);
  ControlClient(const ControlClient &) = delete;
  ControlClient &operator=(const ControlClient &) = delete;
  // Cancels the calls with a longer timeout than ControlCallTimeout and waits
  // for the others.
  ~ControlClient();

  void call(const ControlEndpoint &Target, wire::ControlBody Body,
            ControlCallback Callback,
            policy::Duration Timeout = ControlCallTimeout);

  [[nodiscard]] std::uint64_t refused() const { return Refused; }
  [[nodiscard]] std::uint64_t bytesSent() const { return BytesSent; }

private:
  struct IdleConnection {
    ControlEndpoint Target;
    UniqueFd Socket;
    policy::TimePoint Since{};
  };

  [[nodiscard]] std::optional<wire::ControlBody>
  exchange(const ControlEndpoint &Target, const wire::SealedMessage &Request,
           policy::TimePoint Deadline, bool Long);
  [[nodiscard]] UniqueFd takeIdle(const ControlEndpoint &Target);
  void keep(const ControlEndpoint &Target, UniqueFd Socket);
  void closeIdle(const ControlEndpoint &Target);
  // Lists the connection of a long call. Returns false if the client is
  // closing.
  [[nodiscard]] bool beginLong(int Fd);
  void endLong(int Fd);

  const std::string ClusterKey;
  const policy::NodeId Self;
  FiberPool &Fibers;
  std::mutex Mutex;
  // Most recently used first.
  std::list<IdleConnection> Idle;
  // Connections of the calls with a longer timeout than ControlCallTimeout.
  std::list<int> LongCalls;
  bool Closing = false;
  std::atomic<int> InFlight = 0;
  std::atomic<std::uint64_t> Refused = 0;
  std::atomic<std::uint64_t> BytesSent = 0;
};

} // namespace magnolia::daemon

#endif
