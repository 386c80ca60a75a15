#include "daemon/peer/peer_pool.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "wire/convert/convert.h"
#include "wire/peer.pb.h"

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

namespace {

// Maximum time for a fence or probe on an idle connection before a new one is
// tried, because the idle one may have become unresponsive.
constexpr policy::Duration ReusedTimeout = std::chrono::milliseconds(50);

// Discards the rest of the response to a cancelled request. Returns true once
// it has arrived completely.
bool skipPendingResponse(PeerConnection &Connection, bool &Broken) {
  wire::PeerFrame Frame;
  for (;;) {
    switch (Connection.receive(Frame)) {
    case ReceiveStatus::Broken:
      Broken = true;
      return false;
    case ReceiveStatus::Nothing:
      return false;
    case ReceiveStatus::Frame:
      if ((Frame.has_answer() && !Frame.answer().body_continues()) ||
          (Frame.has_body() && Frame.body().last())) {
        return true;
      }
    }
  }
}

} // namespace

PeerPool::PeerPool(Options Opts) : Opts(std::move(Opts)) {}

PeerPool::PooledConnection PeerPool::takeIdle(policy::NodeId Node,
                                              IdleList Kind) {
  std::list<IdleConnection> ToClose;
  const std::lock_guard Lock(Mutex);
  const auto Found = Peers.find(Node);
  if (Found == Peers.end()) {
    return {};
  }
  std::list<IdleConnection> &Free = Found->second.*Kind;
  const policy::TimePoint Now = now();
  for (auto It = Free.begin(); It != Free.end();) {
    const auto Next = std::next(It);
    bool Broken = Now - It->Since > Opts.IdleTimeout;
    if (!Broken && It->ResponsePending &&
        skipPendingResponse(*It->Connection, Broken)) {
      It->ResponsePending = false;
    }
    if (!Broken && !It->ResponsePending) {
      Broken = It->Connection->hasBytes() || !isUsable(It->Connection->fd());
    }
    if (Broken) {
      ToClose.splice(ToClose.begin(), Free, It);
    } else if (!It->ResponsePending) {
      PooledConnection Found{.Connection = std::move(It->Connection),
                             .Idle = Now - It->Since};
      Free.erase(It);
      return Found;
    }
    It = Next;
  }
  return {};
}

std::unique_ptr<PeerConnection> PeerPool::open(const PeerAddress &Peer,
                                               policy::TimePoint Deadline) {
  const policy::TimePoint Latest =
      std::min(Deadline, now() + Opts.ConnectTimeout);
  auto NewConnection = std::make_unique<PeerConnection>(
      connectTcp(Peer.Address, Peer.Port, Latest));
  if (!NewConnection->valid()) {
    return nullptr;
  }
  if (!handshakeAsClient(*NewConnection, Opts.Own, Latest) ||
      NewConnection->RemoteNode.Node != Peer.Node) {
    return nullptr;
  }
  ++Opened;
  return NewConnection;
}

PeerPool::PooledConnection PeerPool::take(const PeerAddress &Peer,
                                          policy::TimePoint Deadline) {
  PooledConnection Free = takeIdle(Peer.Node, &Peer::Requests);
  if (!Free.Connection) {
    Free.Connection = open(Peer, Deadline);
  }
  return Free;
}

void PeerPool::addIdle(policy::NodeId Node, IdleList Kind,
                       IdleConnection Free) {
  IdleConnection Oldest;
  const std::lock_guard Lock(Mutex);
  std::list<IdleConnection> &Held = Peers[Node].*Kind;
  Held.push_front(std::move(Free));
  if (Held.size() > Opts.IdleMaximum) {
    Oldest = std::move(Held.back());
    Held.pop_back();
  }
}

void PeerPool::give(const PeerAddress &Peer,
                    std::unique_ptr<PeerConnection> Connection,
                    bool ResponsePending) {
  addIdle(Peer.Node, &Peer::Requests,
          {.Connection = std::move(Connection),
           .Since = now(),
           .ResponsePending = ResponsePending});
}

void PeerPool::discard(policy::NodeId Node) {
  Peer ToClose;
  const std::lock_guard Lock(Mutex);
  const auto Found = Peers.find(Node);
  if (Found != Peers.end()) {
    std::swap(ToClose, Found->second);
  }
}

void PeerPool::closeIdle(policy::TimePoint Now) {
  std::list<IdleConnection> ToClose;
  const std::lock_guard Lock(Mutex);
  for (auto It = Peers.begin(); It != Peers.end();) {
    for (const IdleList Kind : {&Peer::Requests, &Peer::Control}) {
      std::list<IdleConnection> &Held = It->second.*Kind;
      while (!Held.empty() && Now - Held.back().Since > Opts.IdleTimeout) {
        ToClose.splice(ToClose.begin(), Held, std::prev(Held.end()));
      }
    }
    const bool Empty =
        It->second.Requests.empty() && It->second.Control.empty();
    It = Empty ? Peers.erase(It) : std::next(It);
  }
}

std::optional<RemoteIdentity> PeerPool::roundTrip(const PeerAddress &Peer,
                                                  wire::PeerFrame &Frame,
                                                  policy::TimePoint Deadline) {
  PooledConnection Free = takeIdle(Peer.Node, &Peer::Control);
  for (;;) {
    const bool Reused = Free.Connection != nullptr;
    if (!Reused) {
      Free.Connection = open(Peer, Deadline);
    }
    if (!Free.Connection) {
      return std::nullopt;
    }
    const policy::TimePoint Latest =
        Reused ? std::min(Deadline, now() + ReusedTimeout) : Deadline;
    wire::PeerFrame Response;
    if (Free.Connection->send(Frame, Latest) &&
        Free.Connection->await(Response, Latest) == ReceiveStatus::Frame) {
      Frame = std::move(Response);
      const RemoteIdentity RemoteNode = Free.Connection->RemoteNode;
      addIdle(Peer.Node, &Peer::Control,
              {.Connection = std::move(Free.Connection), .Since = now()});
      return RemoteNode;
    }
    if (!Reused || now() >= Deadline) {
      return std::nullopt;
    }
    Free = {};
  }
}

FenceResult PeerPool::fence(const PeerAddress &Peer,
                            const policy::RequestId &Id,
                            policy::Incarnation SentTo,
                            policy::TimePoint Deadline) {
  wire::PeerFrame Frame;
  wire::toWire(Id, *Frame.mutable_fence()->mutable_id());
  const std::optional<RemoteIdentity> RemoteNode =
      roundTrip(Peer, Frame, Deadline);
  if (!RemoteNode || RemoteNode->Run != SentTo || !Frame.has_fence_result() ||
      wire::fromWire(Frame.fence_result().id()) != Id) {
    return FenceResult::NoResponse;
  }
  return Frame.fence_result().never_run() ? FenceResult::NeverRun
                                          : FenceResult::Started;
}

std::optional<policy::LoadReport> PeerPool::probe(const PeerAddress &Peer,
                                                  policy::TimePoint Deadline) {
  wire::PeerFrame Frame;
  const std::uint64_t Number = ++Sequence;
  Frame.mutable_probe()->set_sequence(Number);
  if (!roundTrip(Peer, Frame, Deadline) || !Frame.has_probe_result() ||
      Frame.probe_result().sequence() != Number) {
    return std::nullopt;
  }
  return wire::fromWire(Frame.probe_result().load());
}

std::size_t PeerPool::idle() const {
  const std::lock_guard Lock(Mutex);
  std::size_t Count = 0;
  for (const auto &[Node, Held] : Peers) {
    Count += Held.Requests.size() + Held.Control.size();
  }
  return Count;
}

} // namespace magnolia::daemon
