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

enum class FenceResult : std::uint8_t { NeverRun, Started, NoResponse };

// Pool of connections to the sidecars of other nodes. Fences and probes use
// connections separate from those of requests, so that they neither wait for a
// request nor depend on a connection that did not respond to one.
class PeerPool {
public:
  struct Options {
    PeerIdentity Own;
    std::size_t IdleMaximum = 64;
    policy::Duration IdleTimeout{};
    policy::Duration ConnectTimeout{};
  };

  // Connection for one request. Idle is the time since its last use, or empty
  // if it is new.
  struct PooledConnection {
    std::unique_ptr<PeerConnection> Connection;
    std::optional<policy::Duration> Idle;
  };

  explicit PeerPool(Options Opts);

  // Takes an idle connection or opens a new one. The connection is null if the
  // sidecar does not accept it.
  [[nodiscard]] PooledConnection take(const PeerAddress &Peer,
                                      policy::TimePoint Deadline);
  // Returns a connection to the pool. If ResponsePending is true, the response
  // to a cancelled request is outstanding and is skipped before the next use.
  void give(const PeerAddress &Peer, std::unique_ptr<PeerConnection> Connection,
            bool ResponsePending);
  // Closes all idle connections to a sidecar after one became unresponsive.
  void discard(policy::NodeId Node);
  // Closes connections that exceeded the idle timeout.
  void closeIdle(policy::TimePoint Now);

  // Fences a request at a sidecar. SentTo is the incarnation of the sidecar
  // that received the request; the result of another incarnation proves
  // nothing.
  [[nodiscard]] FenceResult fence(const PeerAddress &Peer,
                                  const policy::RequestId &Id,
                                  policy::Incarnation SentTo,
                                  policy::TimePoint Deadline);
  [[nodiscard]] std::optional<policy::LoadReport>
  probe(const PeerAddress &Peer, policy::TimePoint Deadline);

  [[nodiscard]] std::size_t idle() const;
  [[nodiscard]] std::uint64_t opened() const { return Opened; }

private:
  struct IdleConnection {
    std::unique_ptr<PeerConnection> Connection;
    policy::TimePoint Since{};
    bool ResponsePending = false;
  };
  struct Peer {
    std::list<IdleConnection> Requests;
    std::list<IdleConnection> Control;
  };
  using IdleList = std::list<IdleConnection> Peer::*;

  [[nodiscard]] PooledConnection takeIdle(policy::NodeId Node, IdleList Kind);
  [[nodiscard]] std::unique_ptr<PeerConnection>
  open(const PeerAddress &Peer, policy::TimePoint Deadline);
  void addIdle(policy::NodeId Node, IdleList Kind, IdleConnection Free);
  // Sends a frame and replaces it with the response. Returns the identity of
  // the node that responded.
  [[nodiscard]] std::optional<RemoteIdentity>
  roundTrip(const PeerAddress &Peer, wire::PeerFrame &Frame,
            policy::TimePoint Deadline);

  const Options Opts;
  mutable std::mutex Mutex;
  std::unordered_map<policy::NodeId, Peer> Peers;
  std::atomic<std::uint64_t> Opened = 0;
  std::atomic<std::uint64_t> Sequence = 0;
};

} // namespace magnolia::daemon

#endif
