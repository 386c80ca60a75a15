#ifndef POLICY_FLEET_RESTORE_H
#define POLICY_FLEET_RESTORE_H

#include "policy/fleet/restore_state.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace magnolia::policy {

// Takes note of the store's epoch. Returns true if it rose, which means that
// the store was restored from a copy and has lost what was written since then.
bool onEpoch(RestoreState &State, std::uint64_t Epoch, TimePoint Now,
             RandomEngine &Random);

// Returns true if operators have had the time to write lost keys again before a
// read in this epoch.
[[nodiscard]] bool hasSettled(const RestoreState &State, std::uint64_t Epoch,
                              TimePoint Now);

// Return true once if the local backend server's report has to be stored again
// now, or the store has to be read in full now.
[[nodiscard]] bool takeReportWrite(RestoreState &State, TimePoint Now);
[[nodiscard]] bool takeFullRead(RestoreState &State, TimePoint Now);

// Schedule the call again after it failed.
void repeatReportWrite(RestoreState &State, TimePoint Now,
                       RandomEngine &Random);
void repeatFullRead(RestoreState &State, TimePoint Now, RandomEngine &Random);

// The cluster key in the store, as a full read found it.
struct StoredClusterKey {
  std::string_view Value;
  // Epoch of the read.
  std::uint64_t Epoch = 0;
};

// Returns true if a node has to write its own cluster key because the store
// lost it, or because another node created a new one after the loss. OwnEpoch
// is the epoch in which the node read its key: a key that was created in the
// same epoch is not replaced.
[[nodiscard]] bool mustWriteClusterKey(std::string_view Own,
                                       std::uint64_t OwnEpoch,
                                       const StoredClusterKey &Held);

} // namespace magnolia::policy

#endif
