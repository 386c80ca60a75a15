#include "policy/config/exchange.h"
#include "policy/config/send_form.h"
#include "policy/core/types.h"

#include <unordered_map>

namespace magnolia::policy {

namespace {

bool inSet(std::uint64_t Buckets, std::string_view Key) {
  return ((Buckets >> bucketOf(Key)) & 1U) != 0;
}

// Appends the entry unless the response would exceed the limit. The first entry
// is always accepted: otherwise an entry above the limit would never be
// transferred.
bool appendWithinLimit(std::vector<ConfigEntry> &Entries,
                       const ConfigEntry &Entry, std::size_t &Bytes,
                       std::size_t MaxBytes) {
  const std::size_t Size = Entry.Key.size() + Entry.Value.size();
  if (!Entries.empty() && Bytes + Size > MaxBytes) {
    return false;
  }
  Bytes += Size;
  Entries.push_back(Entry);
  return true;
}

// Appends the entry as a notice unless there are enough.
void addNotice(std::vector<KeyRevision> &Notices, const ConfigEntry &Entry) {
  if (Notices.size() < MaxNotices) {
    Notices.push_back({.Key = Entry.Key,
                       .Revision = Entry.Revision,
                       .Bytes = Entry.Value.size()});
  }
}

} // namespace

static_assert(ConfigDigest::BucketCount == 64, "one bit of a set per bucket");

const ConfigDigest &digest(const ConfigTable &Table) { return Table.Digest; }

std::size_t bucketOf(std::string_view Key) {
  return hashOf(Key) % ConfigDigest::BucketCount;
}

std::uint64_t differingBuckets(const ConfigDigest &Left,
                               const ConfigDigest &Right) {
  std::uint64_t Set = 0;
  for (std::size_t I = 0; I < ConfigDigest::BucketCount; ++I) {
    if (Left.Buckets[I] != Right.Buckets[I]) {
      Set |= std::uint64_t{1} << I;
    }
  }
  return Set;
}

std::vector<KeyRevision> revisions(const ConfigTable &Table,
                                   std::uint64_t Buckets) {
  std::vector<KeyRevision> Result;
  for (const auto &[Key, Entry] : Table.Entries) {
    if (inSet(Buckets, Key)) {
      Result.push_back({.Key = Key, .Revision = Entry.Revision});
    }
  }
  return Result;
}

std::vector<KeyRevision> largeRevisions(const ConfigTable &Table,
                                        std::uint64_t Buckets) {
  std::vector<KeyRevision> Result;
  for (const auto &[Key, Entry] : Table.Entries) {
    if (isLarge(Entry) && inSet(Buckets, Key)) {
      addNotice(Result, Entry);
    }
  }
  return Result;
}

ConfigDiff diff(const ConfigTable &Table, std::span<const KeyRevision> Theirs,
                std::uint64_t Buckets, std::size_t MaxBytes,
                LargeValues Large) {
  ConfigDiff Result;
  std::unordered_map<std::string_view, std::uint64_t> Held;
  Held.reserve(Theirs.size());
  for (const KeyRevision &Their : Theirs) {
    Held[Their.Key] = Their.Revision;
    const auto Found = Table.Entries.find(Their.Key);
    if (inSet(Buckets, Their.Key) &&
        (Found == Table.Entries.end() ||
         Found->second.Revision < Their.Revision)) {
      Result.Wanted.push_back(Their.Key);
    }
  }
  std::size_t Bytes = 0;
  for (const auto &[Key, Entry] : Table.Entries) {
    const auto Found = Held.find(Key);
    if (!inSet(Buckets, Key) ||
        (Found != Held.end() && Found->second >= Entry.Revision)) {
      continue;
    }
    if (Large == LargeValues::Announced && isLarge(Entry)) {
      addNotice(Result.Notices, Entry);
      continue;
    }
    if (!appendWithinLimit(Result.Newer, Entry, Bytes, MaxBytes)) {
      Result.More = true;
      break;
    }
  }
  return Result;
}

std::vector<ConfigEntry> missingFrom(const ConfigTable &Table,
                                     std::span<const std::string> Wanted,
                                     std::size_t MaxBytes, LargeValues Large) {
  std::vector<ConfigEntry> Result;
  std::size_t Bytes = 0;
  for (const std::string &Key : Wanted) {
    const auto Found = Table.Entries.find(Key);
    if (Found == Table.Entries.end() ||
        (Large == LargeValues::Announced && isLarge(Found->second))) {
      continue;
    }
    if (!appendWithinLimit(Result, Found->second, Bytes, MaxBytes)) {
      break;
    }
  }
  return Result;
}

std::vector<KeyRevision> largeAmong(const ConfigTable &Table,
                                    std::span<const std::string> Wanted) {
  std::vector<KeyRevision> Result;
  for (const std::string &Key : Wanted) {
    const auto Found = Table.Entries.find(Key);
    if (Found != Table.Entries.end() && isLarge(Found->second)) {
      addNotice(Result, Found->second);
    }
  }
  return Result;
}

} // namespace magnolia::policy
