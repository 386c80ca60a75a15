#include "policy/fleet/repair.h"

#include <set>
#include <string_view>
#include <utility>

namespace magnolia::policy {

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
  std::vector<ConfigEntry> Changes = std::move(Read.Entries);
  for (const auto &[Key, Held] : Table.Entries) {
    if (!Held.Tombstone && Held.Revision <= Read.Revision &&
        !Present.contains(Key)) {
      Changes.push_back({.Key = Key,
                         .Revision = Read.Revision,
                         .Value = {},
                         .Tombstone = true});
    }
  }
  return Changes;
}

} // namespace magnolia::policy
