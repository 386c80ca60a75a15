#ifndef POLICY_FLEET_REPAIR_H
#define POLICY_FLEET_REPAIR_H

#include "policy/config/config_table.h"
#include "policy/fleet/repair_state.h"
#include "policy/fleet/store_read.h"

#include <vector>

namespace magnolia::policy {

// True where an exchange with a member whose digest differs may start now.
[[nodiscard]] bool takeRepair(RepairState &State, const ConfigTable &Table,
                              TimePoint Now);

// Changes that a full read brings: its entries, and a tombstone for each held
// key that it lacks. A key with a later revision than the read is kept: it was
// written after the read, or the store has lost its data and starts again with
// low revisions, and what was accepted stays in effect.
[[nodiscard]] std::vector<ConfigEntry> changesOf(const ConfigTable &Table,
                                                 StoreRead Read);

} // namespace magnolia::policy

#endif
