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
  // The sidecar has not replied to a check in time; it may still answer. Told
  // once.
  Silent,
  // The connection broke or went silent, or the answer is not to the request.
  Lost,
};

struct ExchangeOptions {
  std::size_t AnswerBytes = 0;
  policy::Duration PingAfter{};
  // Time without a reply to a check after which the sidecar counts as silent,
  // and after which the connection counts as lost. A lost packet is sent again
  // after 200 ms at the earliest.
  policy::Duration PingTimeout{};
  policy::Duration LostAfter{};
};

// One request and its answer over a peer connection, without blocking in
// between. The connection itself is checked by pings, which the sidecar
// answers while the request runs: a silent connection is told from a slow
// backend server.
class PeerExchange {
public:
  PeerExchange(std::unique_ptr<PeerConnection> Taken, ExchangeOptions Options);

  // Sends the request. False where it could not be sent whole: then it was
  // not run, because a sidecar runs no partial request.
  [[nodiscard]] bool start(const CallRequest &Request, policy::TimePoint Now,
                           bool CheckAtOnce);

  // Takes what has arrived and checks the connection.
  [[nodiscard]] ExchangeStatus advance(policy::TimePoint Now);
  // Latest time of the next call of advance.
  [[nodiscard]] policy::TimePoint nextCheck() const;

  // Tells the sidecar that the answer is not wanted any more.
  void cancel(policy::TimePoint Now);

  [[nodiscard]] int fd() const { return Connection->fd(); }
  [[nodiscard]] CallAnswer &answer() { return Answer; }
  // After Done the connection is free; after cancel it still owes an answer.
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
  CallAnswer Answer;
  bool HeadSeen = false;
  std::uint64_t PingSequence = 0;
  std::optional<policy::TimePoint> PingSent;
  bool SilenceTold = false;
  policy::TimePoint NextPing{};
};

} // namespace magnolia::daemon

#endif
