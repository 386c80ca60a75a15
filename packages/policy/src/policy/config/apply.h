#ifndef POLICY_CONFIG_APPLY_H
#define POLICY_CONFIG_APPLY_H

#include "policy/config/config_entry.h"
#include "policy/config/config_table.h"
#include "policy/config/patch_outcome.h"
#include "policy/config/value_patch.h"
#include "policy/core/fwd.h"

#include <string_view>

namespace magnolia::policy {

// Stores the entry if its revision is higher than the one in the table, and
// returns true if the table changed. A deletion leaves a tombstone, so that an
// older value that arrives later is rejected and nothing reverts. Entries
// beyond a limit are rejected and counted, except tombstones of keys in the
// table.
bool apply(ConfigTable &Table, ConfigEntry Entry);

// Applies the patch to the value in the table, if that is its base. Sets the
// error if the outcome is Misfit.
[[nodiscard]] PatchOutcome apply(ConfigTable &Table, const ValuePatch &Patch,
                                 Error &LastError);

// Returns the entry in effect for the key, or null if there is none or it was
// deleted.
[[nodiscard]] const ConfigEntry *find(const ConfigTable &Table,
                                      std::string_view Key);

} // namespace magnolia::policy

#endif
