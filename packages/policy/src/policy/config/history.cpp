#include "policy/config/history.h"
#include "policy/config/patch.h"

#include <algorithm>
#include <string>
#include <utility>

namespace magnolia::policy {

namespace {

// Removes the history whose last change is the oldest, other than that of the
// key. Returns false if there is none.
bool forgetOldest(ConfigTable &Table, std::string_view Key) {
  const PatchHistory *Oldest = nullptr;
  std::string Victim;
  for (const auto &[Name, History] : Table.Histories) {
    if (Name != Key &&
        (Oldest == nullptr ||
         History.Patches.back().Revision < Oldest->Patches.back().Revision)) {
      Oldest = &History;
      Victim = Name;
    }
  }
  forgetPatches(Table, Victim);
  return Oldest != nullptr;
}

void forgetFirst(ConfigTable &Table, PatchHistory &History) {
  const std::size_t Bytes = bytesOf(History.Patches.front());
  History.Bytes -= Bytes;
  Table.HistoryBytes -= Bytes;
  History.Patches.erase(History.Patches.begin());
}

} // namespace

void recordPatch(ConfigTable &Table, ValuePatch Patch) {
  const ConfigLimits &Limits = Table.Limits;
  const std::size_t Bytes = bytesOf(Patch);
  const auto Found = Table.Histories.find(Patch.Key);
  const bool Continues =
      Found == Table.Histories.end() ||
      Found->second.Patches.back().Revision == Patch.BaseRevision;
  if (!Continues) {
    forgetPatches(Table, Patch.Key);
  }
  if (Bytes > Limits.MaxHistoryBytes || Bytes > Limits.MaxKeyHistoryBytes ||
      Bytes * 2 > Patch.Bytes || Patch.Steps.size() > PatchMaxSteps) {
    forgetPatches(Table, Patch.Key);
    return;
  }
  PatchHistory &History = Table.Histories[Patch.Key];
  while (!History.Patches.empty() &&
         (History.Patches.size() >= Limits.MaxPatches ||
          History.Bytes + Bytes > Limits.MaxKeyHistoryBytes)) {
    forgetFirst(Table, History);
  }
  while (Table.HistoryBytes + Bytes > Limits.MaxHistoryBytes &&
         forgetOldest(Table, Patch.Key)) {
  }
  while (Table.HistoryBytes + Bytes > Limits.MaxHistoryBytes) {
    forgetFirst(Table, History);
  }
  History.Bytes += Bytes;
  Table.HistoryBytes += Bytes;
  History.Patches.push_back(std::move(Patch));
}

void forgetPatches(ConfigTable &Table, std::string_view Key) {
  const auto Found = Table.Histories.find(Key);
  if (Found != Table.Histories.end()) {
    Table.HistoryBytes -= Found->second.Bytes;
    Table.Histories.erase(Found);
  }
}

std::span<const ValuePatch> patchesSince(const ConfigTable &Table,
                                         std::string_view Key,
                                         std::uint64_t Revision) {
  const auto History = Table.Histories.find(Key);
  const auto Held = Table.Entries.find(Key);
  if (History == Table.Histories.end() || Held == Table.Entries.end()) {
    return {};
  }
  std::span<const ValuePatch> Patches = History->second.Patches;
  const auto First =
      std::find_if(Patches.begin(), Patches.end(), [&](const auto &Patch) {
        return Patch.BaseRevision == Revision;
      });
  Patches = Patches.subspan(
      static_cast<std::size_t>(std::distance(Patches.begin(), First)));
  std::size_t Bytes = 0;
  for (const ValuePatch &Patch : Patches) {
    Bytes += bytesOf(Patch);
  }
  return Bytes < Held->second.Value.size() ? Patches
                                           : std::span<const ValuePatch>();
}

} // namespace magnolia::policy
