#ifndef POLICY_FLEET_REPAIR_H
#define POLICY_FLEET_REPAIR_H

#include "policy/config/config_table.h"
#include "policy/fleet/repair_state.h"
#include "policy/fleet/store_read.h"

#include <vector>

namespace magnolia::policy {

// Returns true if an exchange with a member whose digest differs may start now.
[[nodiscard]] bool takeRepair(RepairState &State, const ConfigTable &Table,
                              TimePoint Now);

// Returns the changes from a full read: its entries, and a tombstone for each
// key of the table that it lacks. A key with a higher revision than the read is
// kept: either it was written after the read, or the store has lost its data
// and restarted with low revisions, and accepted entries stay in effect. A key
// from before the store was restored from a copy is kept until the read is
// settled, because the copy may lack it although nobody deleted it.
[[nodiscard]] std::vector<ConfigEntry> changesOf(const ConfigTable &Table,
                                                 StoreRead Read);

} // namespace magnolia::policy

#endif
