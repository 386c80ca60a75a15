#include "standin_store/kv_state.h"

#include <algorithm>
#include <utility>

namespace magnolia::standin {
namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int LeaseGone = 410;

bool startsWith(std::string_view Text, std::string_view Prefix) {
  return Text.substr(0, Prefix.size()) == Prefix;
}

} // namespace

KvState::KvState(HistoryLimits Limits) : Limits(Limits) {}

void KvState::expire(TimePoint Now) {
  std::vector<std::uint64_t> Ended;
  for (const auto &[Id, Lease] : Leases) {
    if (Lease.End <= Now)
      Ended.push_back(Id);
  }
  for (const std::uint64_t Id : Ended)
    revoke(Id);
}

std::optional<KvState::TimePoint> KvState::nextExpiry() const {
  std::optional<TimePoint> Next;
  for (const auto &[Id, Lease] : Leases)
    Next = Next ? std::min(*Next, Lease.End) : Lease.End;
  return Next;
}

KvState::WriteResult KvState::put(StoredEntry Entry, std::uint64_t Expected) {
  const StoredEntry *Current = find(Entry.Key);
  const std::uint64_t At = Current != nullptr ? Current->Revision : 0;
  if (At != Expected)
    return {Conflict, At};
  if (Entry.Lease != 0 && Leases.find(Entry.Lease) == Leases.end())
    return {LeaseGone, At};
  Entry.Revision = ++LastRevision;
  Entry.Deleted = false;
  record(Entry);
  std::string Key = Entry.Key;
  Entries.insert_or_assign(std::move(Key), std::move(Entry));
  return {Ok, LastRevision};
}

KvState::WriteResult KvState::erase(std::string_view Key,
                                    std::uint64_t Expected) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return {Expected == 0 ? NotFound : Conflict, 0};
  if (Found->second.Revision != Expected)
    return {Conflict, Found->second.Revision};
  Entries.erase(Found);
  record({std::string(Key), {}, ++LastRevision, 0, true});
  return {Ok, LastRevision};
}

std::uint64_t KvState::grant(Milliseconds TimeToLive, TimePoint Now) {
  Leases[++LastLease] = {TimeToLive, Now + TimeToLive};
  return LastLease;
}

bool KvState::keepAlive(std::uint64_t Lease, TimePoint Now) {
  const auto Found = Leases.find(Lease);
  if (Found == Leases.end())
    return false;
  Found->second.End = Now + Found->second.TimeToLive;
  return true;
}

bool KvState::revoke(std::uint64_t Lease) {
  if (Leases.erase(Lease) == 0)
    return false;
  std::vector<std::pair<std::string, std::uint64_t>> Attached;
  for (const auto &[Key, Entry] : Entries) {
    if (Entry.Lease == Lease)
      Attached.emplace_back(Key, Entry.Revision);
  }
  for (const auto &[Key, At] : Attached)
    erase(Key, At);
  return true;
}

const StoredEntry *KvState::find(std::string_view Key) const {
  const auto Found = Entries.find(Key);
  return Found == Entries.end() ? nullptr : &Found->second;
}

std::vector<StoredEntry> KvState::range(std::string_view Prefix) const {
  std::vector<StoredEntry> Result;
  for (auto It = Entries.lower_bound(Prefix);
       It != Entries.end() && startsWith(It->first, Prefix); ++It)
    Result.push_back(It->second);
  return Result;
}

KvState::Changes KvState::changes(std::string_view Prefix,
                                  std::uint64_t After) const {
  const std::uint64_t Oldest =
      History.empty() ? LastRevision + 1 : History.front().Revision;
  // A revision newer than the store's was issued before the store restarted.
  if (After + 1 < Oldest || After > LastRevision)
    return {range(Prefix), true};
  Changes Result;
  for (const StoredEntry &Event : History) {
    if (Event.Revision > After && startsWith(Event.Key, Prefix))
      Result.Events.push_back(Event);
  }
  return Result;
}

void KvState::record(StoredEntry Event) {
  HistoryBytes += Event.Key.size() + Event.Value.size();
  History.push_back(std::move(Event));
  while (History.size() > Limits.MaxEvents || HistoryBytes > Limits.MaxBytes) {
    const StoredEntry &Oldest = History.front();
    HistoryBytes -= Oldest.Key.size() + Oldest.Value.size();
    History.pop_front();
  }
}

} // namespace magnolia::standin
