#ifndef DAEMON_PEER_PEER_POOL_H
#define DAEMON_PEER_PEER_POOL_H

#include "daemon/peer/peer_connection.h"
#include "policy/core/request_id.h"
#include "policy/load/load_report.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace magnolia::daemon {

// Address of a sidecar.
struct PeerAddress {
  policy::NodeId Node = 0;
  std::string Address;
  std::uint16_t Port = 0;
};

enum class FenceResult : std::uint8_t { NeverRun, Started, Silent };

// Connections to the sidecars of other nodes. Requests use one kind of
// connection, fences and probes another, so that these never wait behind a
// request or depend on a connection that a request found silent.
class PeerPool {
public:
  struct Options {
    PeerIdentity Own;
    std::size_t IdleMaximum = 64;
    policy::Duration IdleTimeout{};
    policy::Duration ConnectTimeout{};
  };

  // Connection for one request. Reused tells how long it was idle.
  struct Taken {
    std::unique_ptr<PeerConnection> Connection;
    std::optional<policy::Duration> Idle;
  };

  explicit PeerPool(Options Given);

  // Idle connection, or a new one; nothing where the sidecar does not accept.
  [[nodiscard]] Taken take(const PeerAddress &Peer, policy::TimePoint Deadline);
  // Gives a connection back. Owes: an answer that nobody waits for is still
  // to come and is skipped before the next use.
  void give(const PeerAddress &Peer, std::unique_ptr<PeerConnection> Connection,
            bool Owes);
  // Closes all idle connections to a sidecar, because one went silent.
  void discard(policy::NodeId Node);
  // Closes connections that were idle too long.
  void closeIdle(policy::TimePoint Now);

  // SentTo is the run of the sidecar that got the request: another run knows
  // nothing about it, so its result proves nothing.
  [[nodiscard]] FenceResult fence(const PeerAddress &Peer,
                                  const policy::RequestId &Id,
                                  policy::Incarnation SentTo,
                                  policy::TimePoint Deadline);
  [[nodiscard]] std::optional<policy::LoadReport>
  probe(const PeerAddress &Peer, policy::TimePoint Deadline);

  [[nodiscard]] std::size_t idle() const;
  [[nodiscard]] std::uint64_t opened() const { return Opened; }

private:
  struct Idle {
    std::unique_ptr<PeerConnection> Connection;
    policy::TimePoint Since{};
    bool Owes = false;
  };
  struct Peer {
    std::list<Idle> Requests;
    std::list<Idle> Control;
  };
  using Lane = std::list<Idle> Peer::*;

  [[nodiscard]] Taken takeIdle(policy::NodeId Node, Lane Kind);
  [[nodiscard]] std::unique_ptr<PeerConnection>
  open(const PeerAddress &Peer, policy::TimePoint Deadline);
  void giveTo(policy::NodeId Node, Lane Kind, Idle Free);
  // Sends a frame, replaces it with the answer and tells who answered.
  [[nodiscard]] std::optional<PeerName> roundTrip(const PeerAddress &Peer,
                                                  wire::PeerFrame &Frame,
                                                  policy::TimePoint Deadline);

  const Options Given;
  mutable std::mutex Mutex;
  std::unordered_map<policy::NodeId, Peer> Peers;
  std::atomic<std::uint64_t> Opened = 0;
  std::atomic<std::uint64_t> Sequence = 0;
};

} // namespace magnolia::daemon

#endif
