#ifndef DAEMON_CONTROL_CONTROL_CLIENT_H
#define DAEMON_CONTROL_CONTROL_CLIENT_H

#include "daemon/control/control_endpoint.h"
#include "policy/core/types.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace grpc {
class Channel;
class ClientContext;
} // namespace grpc

namespace magnolia::wire {
class ControlBody;
}

namespace magnolia::daemon {

// Receives the response, or nothing if the call failed.
using ControlCallback =
    std::function<void(std::optional<wire::ControlBody> Response)>;

inline constexpr policy::Duration ControlCallTimeout = std::chrono::seconds(2);

// Calls the Control service of other nodes without blocking. The callback runs
// on a thread of the gRPC library. The numbers of calls in flight and of open
// channels are bounded.
class ControlClient {
public:
  ControlClient(std::string ClusterKey, policy::NodeId Self);
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
  // Keeps a finished call until the next call starts, so that its channel is
  // not released on a thread of the gRPC library.
  void retire(std::shared_ptr<void> Call, const grpc::ClientContext *Context);
  void releaseRetired();
  std::shared_ptr<grpc::Channel> channelTo(const ControlEndpoint &Target);

  const std::string ClusterKey;
  const policy::NodeId Self;
  std::mutex Mutex;
  // Most recently used first.
  std::list<std::pair<ControlEndpoint, std::shared_ptr<grpc::Channel>>>
      Channels;
  std::vector<std::shared_ptr<void>> Retired;
  // Calls in flight with a longer timeout than ControlCallTimeout.
  std::vector<grpc::ClientContext *> LongCalls;
  std::atomic<int> InFlight = 0;
  std::atomic<std::uint64_t> Refused = 0;
  std::atomic<std::uint64_t> BytesSent = 0;
};

} // namespace magnolia::daemon

#endif
