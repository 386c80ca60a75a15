#ifndef DAEMON_NODE_OBTAIN_KEY_H
#define DAEMON_NODE_OBTAIN_KEY_H

#include "store/core/store_operations.h"
#include "wire/seal/cluster_key.h"

namespace magnolia::daemon {

// Key of the cluster from the store. The first node that finds none writes a
// random one; the compare-and-swap lets one key win. Waits while the store is
// away, as a node without the key can talk to no other.
[[nodiscard]] wire::ClusterKey
obtainClusterKey(const store::StoreOperations &Store);

} // namespace magnolia::daemon

#endif
