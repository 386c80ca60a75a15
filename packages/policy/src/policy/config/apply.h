#ifndef POLICY_CONFIG_APPLY_H
#define POLICY_CONFIG_APPLY_H

#include "policy/config/config_entry.h"
#include "policy/config/config_table.h"

#include <string_view>

namespace magnolia::policy {

// Takes the entry over where its revision is higher than the one held, and
// returns whether the table changed. A deletion leaves a tombstone, so an
// older value that arrives later is refused: nothing reverts. Entries over a
// bound are refused and counted; a tombstone of a held key never is.
bool apply(ConfigTable &Table, ConfigEntry Entry);

// Entry in effect for the key; null where there is none or it was deleted.
[[nodiscard]] const ConfigEntry *find(const ConfigTable &Table,
                                      std::string_view Key);

} // namespace magnolia::policy

#endif
