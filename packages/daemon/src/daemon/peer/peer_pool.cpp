#include "daemon/peer/peer_pool.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "wire/convert/convert.h"
#include "wire/peer.pb.h"

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

namespace {

// Most time for a fence or probe on a connection that was idle, before a new
// one is tried: the old one may have gone silent.
constexpr policy::Duration ReusedTimeout = std::chrono::milliseconds(50);

// Takes the rest of an answer that was cancelled. True once it is all there.
bool skipOwed(PeerConnection &Connection, bool &Broken) {
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

PeerPool::PeerPool(Options Given) : Given(std::move(Given)) {}

PeerPool::Taken PeerPool::takeIdle(policy::NodeId Node, Lane Kind) {
  std::list<Idle> Closed;
  const std::lock_guard Lock(Mutex);
  const auto Found = Peers.find(Node);
  if (Found == Peers.end()) {
    return {};
  }
  std::list<Idle> &Free = Found->second.*Kind;
  const policy::TimePoint Now = now();
  for (auto Place = Free.begin(); Place != Free.end();) {
    const auto Next = std::next(Place);
    bool Broken = Now - Place->Since > Given.IdleTimeout;
    if (!Broken && Place->Owes && skipOwed(*Place->Connection, Broken)) {
      Place->Owes = false;
    }
    if (!Broken && !Place->Owes) {
      Broken =
          Place->Connection->hasBytes() || !isUsable(Place->Connection->fd());
    }
    if (Broken) {
      Closed.splice(Closed.begin(), Free, Place);
    } else if (!Place->Owes) {
      Taken Found{.Connection = std::move(Place->Connection),
                  .Idle = Now - Place->Since};
      Free.erase(Place);
      return Found;
    }
    Place = Next;
  }
  return {};
}

std::unique_ptr<PeerConnection> PeerPool::open(const PeerAddress &Peer,
                                               policy::TimePoint Deadline) {
  const policy::TimePoint Latest =
      std::min(Deadline, now() + Given.ConnectTimeout);
  auto Made = std::make_unique<PeerConnection>(
      connectTcp(Peer.Address, Peer.Port, Latest));
  if (!Made->valid()) {
    return nullptr;
  }
  if (!greet(*Made, Given.Own, Latest) || Made->Other.Node != Peer.Node) {
    return nullptr;
  }
  ++Opened;
  return Made;
}

PeerPool::Taken PeerPool::take(const PeerAddress &Peer,
                               policy::TimePoint Deadline) {
  Taken Free = takeIdle(Peer.Node, &Peer::Requests);
  if (!Free.Connection) {
    Free.Connection = open(Peer, Deadline);
  }
  return Free;
}

void PeerPool::giveTo(policy::NodeId Node, Lane Kind, Idle Free) {
  Idle Oldest;
  const std::lock_guard Lock(Mutex);
  std::list<Idle> &Held = Peers[Node].*Kind;
  Held.push_front(std::move(Free));
  if (Held.size() > Given.IdleMaximum) {
    Oldest = std::move(Held.back());
    Held.pop_back();
  }
}

void PeerPool::give(const PeerAddress &Peer,
                    std::unique_ptr<PeerConnection> Connection, bool Owes) {
  giveTo(Peer.Node, &Peer::Requests,
         {.Connection = std::move(Connection), .Since = now(), .Owes = Owes});
}

void PeerPool::discard(policy::NodeId Node) {
  Peer Closed;
  const std::lock_guard Lock(Mutex);
  const auto Found = Peers.find(Node);
  if (Found != Peers.end()) {
    std::swap(Closed, Found->second);
  }
}

void PeerPool::closeIdle(policy::TimePoint Now) {
  std::list<Idle> Closed;
  const std::lock_guard Lock(Mutex);
  for (auto Place = Peers.begin(); Place != Peers.end();) {
    for (const Lane Kind : {&Peer::Requests, &Peer::Control}) {
      std::list<Idle> &Held = Place->second.*Kind;
      while (!Held.empty() && Now - Held.back().Since > Given.IdleTimeout) {
        Closed.splice(Closed.begin(), Held, std::prev(Held.end()));
      }
    }
    const bool Empty =
        Place->second.Requests.empty() && Place->second.Control.empty();
    Place = Empty ? Peers.erase(Place) : std::next(Place);
  }
}

std::optional<PeerName> PeerPool::roundTrip(const PeerAddress &Peer,
                                            wire::PeerFrame &Frame,
                                            policy::TimePoint Deadline) {
  Taken Free = takeIdle(Peer.Node, &Peer::Control);
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
    wire::PeerFrame Answer;
    if (Free.Connection->send(Frame, Latest) &&
        Free.Connection->await(Answer, Latest) == ReceiveStatus::Frame) {
      Frame = std::move(Answer);
      const PeerName Other = Free.Connection->Other;
      giveTo(Peer.Node, &Peer::Control,
             {.Connection = std::move(Free.Connection), .Since = now()});
      return Other;
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
  const std::optional<PeerName> Other = roundTrip(Peer, Frame, Deadline);
  if (!Other || Other->Run != SentTo || !Frame.has_fence_result() ||
      wire::fromWire(Frame.fence_result().id()) != Id) {
    return FenceResult::Silent;
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
