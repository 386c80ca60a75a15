#include "policy/config/apply.h"
#include "policy/config/exchange.h"
#include "policy/config/history.h"
#include "policy/config/patch.h"
#include "policy/config/send_form.h"
#include "policy/core/error.h"
#include "policy/core/types.h"

#include <algorithm>
#include <optional>
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

// Returns false, and counts why, if the entry must not replace the one in the
// table.
bool isAccepted(ConfigTable &Table, const ConfigEntry &Entry,
                const ConfigEntry *Held) {
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
  return true;
}

void insert(ConfigTable &Table, ConfigEntry Entry) {
  Table.HighestRevision = std::max(Table.HighestRevision, Entry.Revision);
  toggleInDigest(Table.Digest, Entry);
  Table.Bytes += bytesOf(Entry);
  const auto Found = Table.Entries.find(Entry.Key);
  if (Found != Table.Entries.end()) {
    toggleInDigest(Table.Digest, Found->second);
    Table.Bytes -= bytesOf(Found->second);
    Found->second = std::move(Entry);
    return;
  }
  std::string Key = Entry.Key;
  Table.Entries.emplace(std::move(Key), std::move(Entry));
}

const ConfigEntry *heldEntry(const ConfigTable &Table, std::string_view Key) {
  const auto Found = Table.Entries.find(Key);
  return Found == Table.Entries.end() ? nullptr : &Found->second;
}

} // namespace

bool apply(ConfigTable &Table, ConfigEntry Entry) {
  if (Entry.Tombstone) {
    Entry.Value.clear();
  }
  const ConfigEntry *Held = heldEntry(Table, Entry.Key);
  if (!isAccepted(Table, Entry, Held)) {
    return false;
  }
  if (Held != nullptr && isLarge(*Held) && isLarge(Entry)) {
    recordPatch(Table, makePatch(*Held, Entry));
  } else {
    forgetPatches(Table, Entry.Key);
  }
  insert(Table, std::move(Entry));
  return true;
}

PatchOutcome apply(ConfigTable &Table, const ValuePatch &Patch,
                   Error &LastError) {
  const ConfigEntry *Held = heldEntry(Table, Patch.Key);
  if (Held != nullptr && Held->Revision >= Patch.Revision) {
    return PatchOutcome::Known;
  }
  if (Held == nullptr || Held->Tombstone ||
      Held->Revision != Patch.BaseRevision) {
    return PatchOutcome::OtherBase;
  }
  std::optional<std::string> Value = applyPatch(Held->Value, Patch, LastError);
  if (!Value) {
    return PatchOutcome::Misfit;
  }
  ConfigEntry Entry = {.Key = Patch.Key,
                       .Revision = Patch.Revision,
                       .Value = *std::move(Value),
                       .Tombstone = false};
  if (!isAccepted(Table, Entry, Held)) {
    LastError = {ErrorKind::BadRequest, "the value is over a limit"};
    return PatchOutcome::Misfit;
  }
  recordPatch(Table, Patch);
  insert(Table, std::move(Entry));
  return PatchOutcome::Applied;
}

const ConfigEntry *find(const ConfigTable &Table, std::string_view Key) {
  const auto Found = Table.Entries.find(Key);
  if (Found == Table.Entries.end() || Found->second.Tombstone) {
    return nullptr;
  }
  return &Found->second;
}

} // namespace magnolia::policy
