#ifndef DAEMON_CONTROL_CONTROL_SERVER_H
#define DAEMON_CONTROL_CONTROL_SERVER_H

#include "daemon/control/control_endpoint.h"
#include "daemon/net/connection_server.h"
#include "policy/core/fwd.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace magnolia::wire {
class ControlBody;
class SealedMessage;
} // namespace magnolia::wire

namespace magnolia::daemon {

// Sends the response of one call. It is called at most once, on any thread.
using ControlReply = std::function<void(wire::ControlBody Response)>;
// Handles one authenticated call on a fiber. Returns false if it cannot accept
// the call.
using ControlHandler =
    std::function<bool(wire::ControlBody Body, ControlReply Reply)>;

// Serves control calls: each connection carries one call after the other, as
// frames of sealed messages. A message without a valid authentication tag is
// counted before it is parsed, and its connection is closed.
class ControlServer {
public:
  // The fibers must outlive the server.
  static std::unique_ptr<ControlServer>
  open(const ControlEndpoint &Listen, std::string ClusterKey,
       ControlHandler Handler, FiberPool &Fibers, policy::Error &LastError);

  ControlServer(const ControlServer &) = delete;
  ControlServer &operator=(const ControlServer &) = delete;
  ~ControlServer() = default;

  [[nodiscard]] std::uint64_t refused() const { return Refused; }
  [[nodiscard]] std::uint64_t bytesReceived() const { return BytesReceived; }
  [[nodiscard]] std::uint64_t bytesSent() const { return BytesSent; }

private:
  ControlServer(const ControlEndpoint &Listen, std::string ClusterKey,
                ControlHandler Handler, FiberPool &Fibers);

  void serve(const Session &Accepted);
  // Returns false if the connection must be closed.
  [[nodiscard]] bool answer(int Fd, const wire::SealedMessage &Request);

  const std::string ClusterKey;
  const ControlHandler Handler;
  std::atomic<std::uint64_t> Refused = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
  std::atomic<std::uint64_t> BytesSent = 0;
  ConnectionServer Connections;
};

} // namespace magnolia::daemon

#endif
