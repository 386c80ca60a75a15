#ifndef POLICY_CONFIG_HISTORY_H
#define POLICY_CONFIG_HISTORY_H

#include "policy/config/config_table.h"
#include "policy/config/value_patch.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace magnolia::policy {

// Adds the patch to the history of its key, within the limits of the table. A
// patch that does not continue the history, or that saves little over the whole
// value, ends the history. Called by apply().
void recordPatch(ConfigTable &Table, ValuePatch Patch);

// Removes the history of the key.
void forgetPatches(ConfigTable &Table, std::string_view Key);

// Returns the patches that turn the value of this revision into the one in the
// table. The result is empty if the history does not reach back so far, or the
// whole value is shorter.
[[nodiscard]] std::span<const ValuePatch> patchesSince(const ConfigTable &Table,
                                                       std::string_view Key,
                                                       std::uint64_t Revision);

} // namespace magnolia::policy

#endif
