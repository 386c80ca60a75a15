#include "policy/fleet/repair.h"

#include "policy/core/epoch.h"

#include <set>
#include <string_view>
#include <utility>

namespace magnolia::policy {

namespace {

// Returns true if the absence of the held key from the read means that it was
// deleted.
bool isDeleted(const ConfigEntry &Held, const StoreRead &Read) {
  if (Held.Tombstone || Held.Revision > Read.Revision) {
    return false;
  }
  if (epochOf(Held.Revision) == epochOf(Read.Revision)) {
    return true;
  }
  const bool WrittenByNodes =
      !Read.OwnPrefix.empty() && Held.Key.starts_with(Read.OwnPrefix);
  return Read.Settled && !WrittenByNodes;
}

} // namespace

bool takeRepair(RepairState &State, const ConfigTable &Table, TimePoint Now) {
  if (Now < State.Next) {
    ++State.Postponed;
    return false;
  }
  const bool Small = Table.Entries.size() < State.Options.SmallTable;
  State.Next =
      Now + (Small ? State.Options.SmallInterval : State.Options.LargeInterval);
  ++State.Started;
  return true;
}

std::vector<ConfigEntry> changesOf(const ConfigTable &Table, StoreRead Read) {
  std::set<std::string, std::less<>> Present;
  for (const ConfigEntry &Entry : Read.Entries) {
    Present.insert(Entry.Key);
  }
  std::vector<ConfigEntry> Changes = std::exchange(Read.Entries, {});
  for (const auto &[Key, Held] : Table.Entries) {
    if (!Present.contains(Key) && isDeleted(Held, Read)) {
      Changes.push_back({.Key = Key,
                         .Revision = Read.Revision,
                         .Value = {},
                         .Tombstone = true});
    }
  }
  return Changes;
}

} // namespace magnolia::policy
