#include "policy/config/send_form.h"
#include "policy/config/history.h"
#include "policy/config/patch.h"

namespace magnolia::policy {

bool isLarge(const ConfigEntry &Entry) {
  return Entry.Value.size() > InlineMaxBytes;
}

SendForm pushForm(const ConfigTable &Table, const ConfigEntry &Entry) {
  if (!isLarge(Entry)) {
    return SendForm::Value;
  }
  const auto History = Table.Histories.find(Entry.Key);
  if (History != Table.Histories.end() &&
      bytesOf(History->second.Patches.back()) <= InlineMaxBytes) {
    return SendForm::Patches;
  }
  return SendForm::Notice;
}

SendForm fetchForm(const ConfigTable &Table, std::string_view Key,
                   std::uint64_t HeldRevision) {
  const auto Found = Table.Entries.find(Key);
  if (Found == Table.Entries.end() || Found->second.Revision <= HeldRevision) {
    return SendForm::Nothing;
  }
  return patchesSince(Table, Key, HeldRevision).empty() ? SendForm::Value
                                                        : SendForm::Patches;
}

} // namespace magnolia::policy
