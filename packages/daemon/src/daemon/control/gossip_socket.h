#ifndef DAEMON_CONTROL_GOSSIP_SOCKET_H
#define DAEMON_CONTROL_GOSSIP_SOCKET_H

#include "policy/core/fwd.h"
#include "wire/seal/cluster_key.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace magnolia::wire {
class GossipDatagram;
}

namespace magnolia::daemon {

using GossipHandler = std::function<void(wire::GossipDatagram)>;

// UDP socket for membership messages. Every datagram ends with an HMAC-SHA256
// tag under the cluster key. Datagrams without a valid tag are counted and
// dropped.
class GossipSocket {
public:
  // Binds the socket and starts the receiver thread, which calls the handler.
  static std::unique_ptr<GossipSocket>
  open(const std::string &Address, std::uint16_t Port, wire::ClusterKey Key,
       GossipHandler Handler, policy::Error &LastError);

  GossipSocket(const GossipSocket &) = delete;
  GossipSocket &operator=(const GossipSocket &) = delete;
  ~GossipSocket();

  void send(const std::string &Address, std::uint16_t Port,
            const wire::GossipDatagram &Datagram);

  [[nodiscard]] std::uint64_t bytesSent() const { return BytesSent; }
  [[nodiscard]] std::uint64_t bytesReceived() const { return BytesReceived; }
  [[nodiscard]] std::uint64_t dropped() const { return Dropped; }
  [[nodiscard]] std::uint64_t oversized() const { return Oversized; }

private:
  GossipSocket(int Descriptor, wire::ClusterKey Key, GossipHandler Handler);

  void receiveLoop();
  void handle(std::string_view Packet);

  const int Descriptor;
  const wire::ClusterKey Key;
  const GossipHandler Handler;
  std::atomic<std::uint64_t> BytesSent = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
  std::atomic<std::uint64_t> Dropped = 0;
  std::atomic<std::uint64_t> Oversized = 0;
  std::atomic<bool> Stopping = false;
  std::thread Receiver;
};

} // namespace magnolia::daemon

#endif
