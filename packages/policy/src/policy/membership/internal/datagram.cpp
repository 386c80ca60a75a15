#include "policy/membership/internal/datagram.h"
#include "policy/membership/internal/table.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace magnolia::policy::internal {

namespace {

// Tag byte and eight bytes of a fixed64 field.
constexpr std::size_t Fixed64Size = 9;
constexpr std::size_t DefaultSize = 0;

std::size_t varintSize(std::uint64_t Value) {
  std::size_t Size = 1;
  for (; Value >= 0x80; Value >>= 7) {
    ++Size;
  }
  return Size;
}

std::size_t numberSize(std::uint64_t Value) {
  return Value == 0 ? DefaultSize : 1 + varintSize(Value);
}

std::size_t textSize(std::size_t Length) {
  return Length == 0 ? DefaultSize : 1 + varintSize(Length) + Length;
}

std::uint32_t transmissionLimit(const MembershipState &State) {
  const double Digits =
      std::ceil(std::log10(static_cast<double>(State.Table.Live) + 1.0));
  return static_cast<std::uint32_t>(
      static_cast<double>(State.Options.RetransmitFactor) *
      std::max(1.0, Digits));
}

void refill(MembershipState &State, TimePoint Now) {
  MembershipState::UpdateQueue &Queue = State.Updates;
  const double Seconds =
      std::chrono::duration<double>(Now - Queue.RefilledAt).count();
  if (Seconds > 0) {
    Queue.Tokens =
        std::min(Queue.Tokens + Seconds * State.Options.UpdatesPerSecond,
                 State.Options.UpdatesPerSecond);
    Queue.RefilledAt = Now;
  }
}

// Takes updates from the front of the queue and puts back those that need more
// transmissions.
void addUpdates(MembershipState &State, std::vector<Member> &Updates,
                NodeId To) {
  using Rank = MembershipState::UpdateQueue::Rank;
  MembershipState::UpdateQueue &Queue = State.Updates;
  std::size_t Bytes =
      encodedSize(State.Table.Members[State.Table.Index.at(State.Self)]);
  for (const Member &Update : Updates) {
    Bytes += encodedSize(Update);
  }
  std::vector<std::pair<Rank, NodeId>> Sent;
  auto Next = Queue.Order.begin();
  while (Next != Queue.Order.end() && Queue.Tokens >= 1.0 &&
         Updates.size() < State.Options.MaxUpdates) {
    const auto Index = indexOf(State.Table, Next->second);
    // Every datagram contains the sender's own record, and the target knows its
    // own.
    const bool Known = Next->second == To || Next->second == State.Self;
    if (Index && !Known) {
      const Member &Record = State.Table.Members[*Index];
      const std::size_t Size = encodedSize(Record);
      if (Bytes + Size > State.Options.MaxRecordBytes) {
        break;
      }
      Bytes += Size;
      Updates.push_back(Record);
      Queue.Tokens -= 1.0;
    }
    if (Index && Next->second == To) {
      ++Next;
      continue;
    }
    if (Index) {
      Sent.push_back(*Next);
    }
    Queue.Ranks.erase(Next->second);
    Next = Queue.Order.erase(Next);
  }
  const std::uint32_t Limit = transmissionLimit(State);
  for (auto &[NewRank, Node] : Sent) {
    if (++NewRank.first < Limit) {
      Queue.Order.emplace(NewRank, Node);
      Queue.Ranks[Node] = NewRank;
    }
  }
}

} // namespace

std::size_t encodedSize(const Member &Record) {
  std::size_t Size = 2 * Fixed64Size;
  Size += textSize(Record.Address.size()) + textSize(Record.Region.size()) +
          textSize(Record.Zone.size()) + textSize(Record.Service.size()) +
          textSize(Record.Version.size());
  Size += numberSize(Record.PeerPort) + numberSize(Record.ControlPort) +
          numberSize(Record.GossipPort) + numberSize(Record.HttpPort) +
          numberSize(Record.RecordVersion) +
          numberSize(static_cast<std::uint64_t>(Record.State)) +
          numberSize(Record.Draining ? 1 : 0);
  // Tag and length of the record as a field of the datagram.
  return Size + 1 + varintSize(Size);
}

std::size_t encodedSize(const MembershipMessage &Message) {
  std::size_t Size = numberSize(static_cast<std::uint64_t>(Message.Type)) +
                     numberSize(Message.Sequence) + encodedSize(Message.From);
  Size += Message.Target == 0 ? DefaultSize : Fixed64Size;
  Size += 2 * Fixed64Size;
  for (const Member &Update : Message.Updates) {
    Size += encodedSize(Update);
  }
  return Size;
}

MembershipAction compose(MembershipState &State, MessageType Type,
                         const Member &To, std::uint64_t Sequence,
                         NodeId Target, TimePoint Now) {
  MembershipAction Action = {.Target = To.Node,
                             .Address = To.Address,
                             .GossipPort = To.GossipPort,
                             .Message = {}};
  MembershipMessage &Message = Action.Message;
  Message.Type = Type;
  Message.Sequence = Sequence;
  Message.Target = Target;
  Message.MemberDigest = State.Table.Digest;
  const auto Index = indexOf(State.Table, To.Node);
  if (Index && State.Table.Members[*Index].State != MemberState::Alive) {
    Message.Updates.push_back(State.Table.Members[*Index]);
  }
  refill(State, Now);
  addUpdates(State, Message.Updates, To.Node);
  Message.From = State.Table.Members[State.Table.Index.at(State.Self)];
  ++State.Counters.Sent;
  State.Counters.UpdatesSent += Message.Updates.size();
  State.Counters.BytesSent += encodedSize(Message);
  return Action;
}

} // namespace magnolia::policy::internal
