#ifndef DAEMON_PEER_PEER_EXCHANGE_H
#define DAEMON_PEER_PEER_EXCHANGE_H

#include "daemon/peer/call.h"
#include "daemon/peer/call_frames.h"
#include "daemon/peer/peer_connection.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace magnolia::daemon {

enum class ExchangeStatus : std::uint8_t {
  Pending,
  Done,
  // The sidecar has not responded to a ping in time but may still respond to
  // the request. Reported once for each ping.
  Unresponsive,
  // The connection broke or stayed unresponsive, or the response belongs to
  // another request.
  Lost,
};

struct ExchangeOptions {
  std::size_t ResponseBytes = 0;
  // Memory for the bodies of responses; null for no limit on their sum.
  BodyMemory *Memory = nullptr;
  policy::Duration PingAfter{};
  // Time without a response to a ping after which the sidecar counts as
  // unresponsive, and after which the connection counts as lost. TCP
  // retransmits a lost packet after 200 ms at the earliest.
  policy::Duration PingTimeout{};
  policy::Duration LostAfter{};
};

// One request and its response over a peer connection, without blocking. Pings,
// to which the sidecar responds while the request runs, distinguish an
// unresponsive connection from a slow backend server.
class PeerExchange {
public:
  PeerExchange(std::unique_ptr<PeerConnection> NewConnection,
               ExchangeOptions Options);

  // Sends the request. Returns false if it could not be sent completely; it has
  // not run then, because a sidecar never runs a partial request.
  [[nodiscard]] bool start(const CallRequest &Request, policy::TimePoint Now,
                           bool PingAtOnce);

  // Processes the received frames and checks the connection.
  [[nodiscard]] ExchangeStatus advance(policy::TimePoint Now);
  // Returns the latest time for the next call of advance.
  [[nodiscard]] policy::TimePoint nextCheck() const;

  // Tells the sidecar that the response is no longer needed.
  void cancel(policy::TimePoint Now);

  [[nodiscard]] int fd() const { return Connection->fd(); }
  [[nodiscard]] CallResponse &response() { return Response; }
  // Releases the connection. It is idle after Done; after cancel a response is
  // still outstanding.
  [[nodiscard]] std::unique_ptr<PeerConnection> release() {
    return std::move(Connection);
  }

private:
  [[nodiscard]] ExchangeStatus takeFrame(wire::PeerFrame &Frame);
  [[nodiscard]] ExchangeStatus bodyStatus(AssemblyStatus Status);
  [[nodiscard]] bool ping(policy::TimePoint Now);

  std::unique_ptr<PeerConnection> Connection;
  ExchangeOptions Options;
  policy::RequestId Id;
  BodyAssembly Assembly{0, {}};
  CallResponse Response;
  bool HeadReceived = false;
  std::uint64_t PingSequence = 0;
  std::optional<policy::TimePoint> PingSent;
  bool SilenceReported = false;
  policy::TimePoint NextPing{};
};

} // namespace magnolia::daemon

#endif
