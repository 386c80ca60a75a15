#include "policy/membership/gossip.h"
#include "policy/membership/internal/datagram.h"
#include "policy/membership/internal/select.h"
#include "policy/membership/internal/table.h"

#include <algorithm>

namespace magnolia::policy {

using internal::compose;
using internal::indexOf;

namespace {

// Maximum number of updates read from one datagram; more do not fit into 1,400
// bytes.
constexpr std::size_t MaxUpdatesRead = 64;
// Members to which a leaving node sends the change directly; gossip informs the
// others.
constexpr std::size_t LeaveFanout = 8;

void respondToPing(MembershipState &State, const MembershipMessage &Message,
                   TimePoint Now, std::vector<MembershipAction> &Actions) {
  const bool ForThisNode = Message.Target == 0 || Message.Target == State.Self;
  if (Message.Sequence != 0 && ForThisNode) {
    Actions.push_back(compose(State, MessageType::Ack, Message.From,
                              Message.Sequence, State.Self, Now));
  }
}

void handleAck(MembershipState &State, const MembershipMessage &Message,
               TimePoint Now, std::vector<MembershipAction> &Actions) {
  const auto &Probe = State.CurrentProbe;
  if (Probe && Probe->Sequence == Message.Sequence &&
      Probe->Target == Message.Target) {
    State.CurrentProbe.reset();
    return;
  }
  const auto Relay = std::find_if(State.Relays.begin(), State.Relays.end(),
                                  [&Message](const auto &Item) {
                                    return Item.Sequence == Message.Sequence &&
                                           Item.Target == Message.Target;
                                  });
  if (Relay == State.Relays.end()) {
    return;
  }
  if (const Member *Requester = findMember(State, Relay->Requester)) {
    Actions.push_back(compose(State, MessageType::Ack, *Requester,
                              Relay->RequesterSequence, Relay->Target, Now));
  }
  State.Relays.erase(Relay);
}

void relayPing(MembershipState &State, const MembershipMessage &Message,
               TimePoint Now, std::vector<MembershipAction> &Actions) {
  const auto Index = indexOf(State.Table, Message.Target);
  if (!Index || Message.Target == State.Self) {
    return;
  }
  std::erase_if(State.Relays,
                [Now](const auto &Item) { return Item.Expires <= Now; });
  if (State.Relays.size() >= State.Options.MaxRelays) {
    ++State.Counters.RelayFull;
    return;
  }
  const std::uint64_t Sequence = State.NextSequence++;
  State.Relays.push_back({.Sequence = Sequence,
                          .Requester = Message.From.Node,
                          .RequesterSequence = Message.Sequence,
                          .Target = Message.Target,
                          .Expires = Now + State.Options.ProbePeriod});
  const Member Target = State.Table.Members[*Index];
  Actions.push_back(
      compose(State, MessageType::Ping, Target, Sequence, Target.Node, Now));
}

} // namespace

MembershipState makeMembership(Member Self, TimePoint Now,
                               const MembershipOptions &Options) {
  MembershipState State;
  State.Options = Options;
  State.Self = Self.Node;
  Self.RecordVersion = 0;
  Self.State = MemberState::Alive;
  State.Updates.Tokens = Options.UpdatesPerSecond;
  State.Updates.RefilledAt = Now;
  State.NextContact = Now;
  State.NextSync = Now;
  internal::insert(State.Table, Self, Now);
  return State;
}

std::vector<MembershipAction> onMessage(MembershipState &State,
                                        const MembershipMessage &Message,
                                        TimePoint Now,
                                        RandomEngine & /*Random*/) {
  ++State.Counters.Received;
  std::vector<MembershipAction> Actions;
  if (Message.From.Node == 0 || Message.From.Node == State.Self) {
    return Actions;
  }
  const Member *Held = findMember(State, Message.From.Node);
  if (Held != nullptr && Held->Run == Message.From.Run) {
    internal::markResponding(State, Message.From.Node, Now);
  }
  internal::merge(State, Message.From, internal::Source::Direct, Now);
  const std::size_t Count = std::min(Message.Updates.size(), MaxUpdatesRead);
  for (std::size_t I = 0; I < Count; ++I) {
    internal::merge(State, Message.Updates[I], internal::Source::Gossip, Now);
  }
  if (Message.MemberDigest != State.Table.Digest) {
    State.DifferingMember = Message.From.Node;
  }
  switch (Message.Type) {
  case MessageType::Ping:
    respondToPing(State, Message, Now, Actions);
    break;
  case MessageType::Ack:
    handleAck(State, Message, Now, Actions);
    break;
  case MessageType::PingRequest:
    relayPing(State, Message, Now, Actions);
    break;
  }
  return Actions;
}

bool announce(MembershipState &State, const MemberFacts &Facts) {
  Member &Own = State.Table.Members[State.Table.Index.at(State.Self)];
  const MemberFacts Before = {
      .Service = Own.Service, .Version = Own.Version, .Draining = Own.Draining};
  if (Before == Facts || State.Leaving) {
    return false;
  }
  Own.Service = Facts.Service;
  Own.Version = Facts.Version;
  Own.Draining = Facts.Draining;
  internal::raiseRecordVersion(State);
  return true;
}

std::vector<MembershipAction> leave(MembershipState &State, TimePoint Now,
                                    RandomEngine &Random) {
  State.Leaving = true;
  const std::uint32_t Index = State.Table.Index.at(State.Self);
  Member Own = State.Table.Members[Index];
  Own.State = MemberState::Left;
  Own.Draining = true;
  ++Own.RecordVersion;
  internal::replace(State.Table, Index, Own, Now);
  internal::queueUpdate(State, State.Self);
  std::vector<MembershipAction> Actions;
  for (const NodeId Node :
       internal::randomLive(State, LeaveFanout, State.Self, Random)) {
    Actions.push_back(compose(State, MessageType::Ping,
                              *findMember(State, Node), 0, Node, Now));
  }
  return Actions;
}

void addContacts(MembershipState &State, std::span<const Contact> Contacts) {
  for (const Contact &Added : Contacts) {
    const bool Known = std::find(State.Contacts.begin(), State.Contacts.end(),
                                 Added) != State.Contacts.end();
    const Member &Own = self(State);
    const bool IsSelf =
        Added.Address == Own.Address && Added.GossipPort == Own.GossipPort;
    if (!Known && !IsSelf &&
        State.Contacts.size() < State.Options.MaxContacts) {
      State.Contacts.push_back(Added);
    }
  }
}

std::span<const Member> members(const MembershipState &State) {
  return State.Table.Members;
}

const Member *findMember(const MembershipState &State, NodeId Node) {
  const auto Index = indexOf(State.Table, Node);
  return Index ? &State.Table.Members[*Index] : nullptr;
}

const Member &self(const MembershipState &State) {
  return State.Table.Members[State.Table.Index.at(State.Self)];
}

} // namespace magnolia::policy
