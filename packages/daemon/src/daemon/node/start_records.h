#ifndef DAEMON_NODE_START_RECORDS_H
#define DAEMON_NODE_START_RECORDS_H

#include "policy/core/types.h"
#include "store/core/store_operations.h"
#include "store/core/watch_result.h"
#include "wire/seal/cluster_key.h"

namespace magnolia::daemon {

// What a node learns from the store when it starts.
struct StartRecords {
  wire::ClusterKey Key;
  // All records: the configuration, contacts, and what the backend server
  // beside the node said before.
  store::WatchResult All;
};

// Reads everything with one call, because calls are what a start costs the
// store. The first node that finds no cluster key writes a random one; the
// compare-and-swap lets one key win. Waits while the store is away, as a node
// without the key can talk to no other. The first call comes after a random
// part of Spread.
[[nodiscard]] StartRecords readStartRecords(const store::StoreOperations &Store,
                                            policy::Duration Spread = {});

} // namespace magnolia::daemon

#endif
