#ifndef DAEMON_NODE_START_RECORDS_H
#define DAEMON_NODE_START_RECORDS_H

#include "policy/core/types.h"
#include "store/core/store_operations.h"
#include "store/core/watch_result.h"
#include "wire/seal/cluster_key.h"

#include <functional>
#include <optional>

namespace magnolia::daemon {

// Records that a node reads from the store at startup.
struct StartRecords {
  wire::ClusterKey Key;
  // All records: the configuration, the contacts and the last report of the
  // local backend server.
  store::WatchResult Records;
};

// Reads all records with one call, because the number of calls determines the
// load that starting nodes put on the store. If there is no cluster key, writes
// a random one by compare-and-swap, so that only one key is ever stored. Blocks
// while the store is unavailable, because a node without the key cannot
// communicate with others. The first call is delayed by a random part of
// Jitter. Sleep waits for the given time and returns false if the process must
// stop; the function then returns nothing.
[[nodiscard]] std::optional<StartRecords>
readStartRecords(const store::StoreOperations &Store,
                 const std::function<bool(policy::Duration)> &Sleep,
                 policy::Duration Jitter = {});

} // namespace magnolia::daemon

#endif
