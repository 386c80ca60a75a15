#ifndef POLICY_ROLLOUT_LOST_RECORD_H
#define POLICY_ROLLOUT_LOST_RECORD_H

#include "policy/rollout/rollout_record.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace magnolia::policy {

// A store that was restored from a copy may hold an earlier record of a
// rollout, or none. The nodes keep the later one in effect, and the driver
// writes it again, so that a rollout neither goes back nor starts again.

// Returns the record that is in effect after Read arrived from the store or
// from another node. Held is null if there was none. Within one epoch of the
// store, the later revision wins; across a restoration, the record that is
// further advanced.
[[nodiscard]] RolloutRecord recordInEffect(const RolloutRecord *Held,
                                           const RolloutRecord &Read);

// Returns true if the store does not hold the record and the driver has to
// write it again. StoreEpoch is the current epoch of the store.
[[nodiscard]] bool isLost(const RolloutRecord &Record,
                          std::uint64_t StoreEpoch);

// Returns the revision that the next compare-and-swap expects: 0 if the key has
// not appeared in the current epoch.
[[nodiscard]] std::uint64_t expectedRevision(const RolloutRecord &Record,
                                             std::uint64_t StoreEpoch);

} // namespace magnolia::policy

#endif
