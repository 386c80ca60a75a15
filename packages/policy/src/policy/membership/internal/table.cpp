#include "policy/membership/internal/table.h"

#include <iterator>
#include <string>

namespace magnolia::policy::internal {

namespace {

std::uint64_t digestTerm(const Member &Record) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
  std::uint64_t Hash = Record.Node;
  Hash = (Hash ^ Record.Run) * Multiplier;
  Hash = (Hash ^ (Hash >> 29) ^ Record.RecordVersion) * Multiplier;
  return Hash ^ (Hash >> 32);
}

bool isNotResponding(const Member &Record) {
  return Record.State == MemberState::Suspect ||
         Record.State == MemberState::Unreachable;
}

std::uint32_t zoneOf(MemberTable &Table, const Member &Record) {
  std::string Key = Record.Region + '/' + Record.Zone;
  const auto Next = static_cast<std::uint32_t>(Table.Zones.size());
  const auto [Found, Added] = Table.ZoneIndex.try_emplace(std::move(Key), Next);
  if (Added) {
    Table.Zones.emplace_back();
  }
  return Found->second;
}

void count(MemberTable &Table, const Member &Record, std::uint32_t Zone) {
  MemberTable::ZoneCounts &Counts = Table.Zones[Zone];
  Counts.Members += Record.State == MemberState::Left ? 0 : 1;
  Counts.NotResponding += isNotResponding(Record) ? 1 : 0;
  if (isLive(Record)) {
    ++Table.Live;
    Table.Digest ^= digestTerm(Record);
  }
  ++Table.Generation;
}

void uncount(MemberTable &Table, const Member &Record, std::uint32_t Zone) {
  MemberTable::ZoneCounts &Counts = Table.Zones[Zone];
  Counts.Members -= Record.State == MemberState::Left ? 0 : 1;
  Counts.NotResponding -= isNotResponding(Record) ? 1 : 0;
  if (isLive(Record)) {
    --Table.Live;
    Table.Digest ^= digestTerm(Record);
  }
}

} // namespace

std::optional<std::uint32_t> indexOf(const MemberTable &Table, NodeId Node) {
  const auto Found = Table.Index.find(Node);
  if (Found == Table.Index.end()) {
    return std::nullopt;
  }
  return Found->second;
}

void insert(MemberTable &Table, const Member &Record, TimePoint Now) {
  const std::uint32_t Zone = zoneOf(Table, Record);
  Table.Index[Record.Node] = static_cast<std::uint32_t>(Table.Members.size());
  Table.Members.push_back(Record);
  Table.Metadata.push_back({.Since = Now, .Zone = Zone});
  count(Table, Record, Zone);
}

void replace(MemberTable &Table, std::uint32_t Index, const Member &Record,
             TimePoint Now) {
  Member &Held = Table.Members[Index];
  MemberTable::MemberMetadata &Info = Table.Metadata[Index];
  uncount(Table, Held, Info.Zone);
  if (Held.State != Record.State || Held.Run != Record.Run) {
    Info.Since = Now;
  }
  if (Held.Zone != Record.Zone || Held.Region != Record.Region) {
    Info.Zone = zoneOf(Table, Record);
  }
  Held = Record;
  count(Table, Held, Info.Zone);
}

void erase(MemberTable &Table, std::uint32_t Index) {
  uncount(Table, Table.Members[Index], Table.Metadata[Index].Zone);
  Table.Index.erase(Table.Members[Index].Node);
  const std::size_t Last = Table.Members.size() - 1;
  if (Index != Last) {
    Table.Members[Index] = std::move(Table.Members[Last]);
    Table.Metadata[Index] = Table.Metadata[Last];
    Table.Index[Table.Members[Index].Node] = Index;
  }
  Table.Members.pop_back();
  Table.Metadata.pop_back();
  ++Table.Generation;
}

void queueUpdate(MembershipState &State, NodeId Node) {
  MembershipState::UpdateQueue &Queue = State.Updates;
  dropUpdate(State, Node);
  if (Queue.Order.size() >= State.Options.MaxPendingUpdates) {
    // Drops the update with the most transmissions, which most of the fleet
    // already knows.
    ++State.Counters.QueueFull;
    const auto Last = std::prev(Queue.Order.end());
    Queue.Ranks.erase(Last->second);
    Queue.Order.erase(Last);
  }
  const MembershipState::UpdateQueue::Rank Rank{0, Queue.NextArrival++};
  Queue.Order.emplace(Rank, Node);
  Queue.Ranks[Node] = Rank;
}

void dropUpdate(MembershipState &State, NodeId Node) {
  const auto Found = State.Updates.Ranks.find(Node);
  if (Found != State.Updates.Ranks.end()) {
    State.Updates.Order.erase(Found->second);
    State.Updates.Ranks.erase(Found);
  }
}

} // namespace magnolia::policy::internal
