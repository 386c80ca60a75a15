#include "policy/config/apply.h"
#include "policy/config/exchange.h"
#include "policy/core/types.h"

#include <algorithm>
#include <utility>

namespace magnolia::policy {

namespace {

std::size_t bytesOf(const ConfigEntry &Entry) {
  return Entry.Key.size() + Entry.Value.size();
}

// Adds an entry to the digest, or removes it if called again.
void toggleInDigest(ConfigDigest &Digest, const ConfigEntry &Entry) {
  const std::uint64_t Hash = hashOf(Entry.Key, Entry.Revision);
  Digest.Whole ^= Hash;
  Digest.Buckets[bucketOf(Entry.Key)] ^= Hash;
}

bool withinLimits(const ConfigTable &Table, const ConfigEntry &Entry,
                  const ConfigEntry *Held) {
  const ConfigLimits &Limits = Table.Limits;
  if (Entry.Key.empty() || Entry.Key.size() > Limits.MaxKeyBytes ||
      Entry.Value.size() > Limits.MaxValueBytes) {
    return false;
  }
  if (Held == nullptr && Table.Entries.size() >= Limits.MaxEntries) {
    return false;
  }
  const std::size_t FreedBytes = Held == nullptr ? 0 : bytesOf(*Held);
  const std::size_t After = Table.Bytes - FreedBytes + bytesOf(Entry);
  // An entry that shrinks the table is accepted even if the table is over a
  // limit.
  return After <= std::max(Limits.MaxBytes, Held == nullptr ? 0 : Table.Bytes);
}

} // namespace

bool apply(ConfigTable &Table, ConfigEntry Entry) {
  if (Entry.Tombstone) {
    Entry.Value.clear();
  }
  const auto Found = Table.Entries.find(Entry.Key);
  const ConfigEntry *Held =
      Found == Table.Entries.end() ? nullptr : &Found->second;
  if (Entry.Revision == 0 ||
      (Held != nullptr && Entry.Revision < Held->Revision)) {
    ++Table.Counters.Stale;
    return false;
  }
  if (Held != nullptr && Entry.Revision == Held->Revision) {
    ++Table.Counters.Duplicates;
    return false;
  }
  if (!withinLimits(Table, Entry, Held)) {
    ++Table.Counters.OverLimit;
    return false;
  }
  ++Table.Counters.Applied;
  Table.HighestRevision = std::max(Table.HighestRevision, Entry.Revision);
  toggleInDigest(Table.Digest, Entry);
  Table.Bytes += bytesOf(Entry);
  if (Held != nullptr) {
    toggleInDigest(Table.Digest, *Held);
    Table.Bytes -= bytesOf(*Held);
    Found->second = std::move(Entry);
    return true;
  }
  std::string Key = Entry.Key;
  Table.Entries.emplace(std::move(Key), std::move(Entry));
  return true;
}

const ConfigEntry *find(const ConfigTable &Table, std::string_view Key) {
  const auto Found = Table.Entries.find(Key);
  if (Found == Table.Entries.end() || Found->second.Tombstone) {
    return nullptr;
  }
  return &Found->second;
}

} // namespace magnolia::policy
