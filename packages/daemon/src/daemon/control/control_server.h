#ifndef DAEMON_CONTROL_CONTROL_SERVER_H
#define DAEMON_CONTROL_CONTROL_SERVER_H

#include "daemon/control/control_endpoint.h"
#include "policy/core/fwd.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace grpc {
class Server;
}

namespace magnolia::wire {
class ControlBody;
}

namespace magnolia::daemon {

// Sends the response of one call. It is called at most once, on any thread.
using ControlReply = std::function<void(wire::ControlBody Response)>;
// Handles one authenticated call on a thread of the gRPC library. Returns false
// if it cannot accept the call.
using ControlHandler =
    std::function<bool(wire::ControlBody Body, ControlReply Reply)>;

// Serves the Control service. Messages without a valid authentication tag are
// counted and refused before they are parsed.
class ControlServer {
public:
  static std::unique_ptr<ControlServer> open(const ControlEndpoint &Listen,
                                             std::string ClusterKey,
                                             ControlHandler Handler,
                                             policy::Error &LastError);

  ControlServer(const ControlServer &) = delete;
  ControlServer &operator=(const ControlServer &) = delete;
  ~ControlServer();

  [[nodiscard]] std::uint64_t refused() const;
  [[nodiscard]] std::uint64_t bytesReceived() const;
  [[nodiscard]] std::uint64_t bytesSent() const;

private:
  class Service;

  explicit ControlServer(std::unique_ptr<Service> Implementation);

  std::unique_ptr<Service> Implementation;
  std::unique_ptr<grpc::Server> Server;
};

} // namespace magnolia::daemon

#endif
