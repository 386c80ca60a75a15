#ifndef DAEMON_NODE_NODE_OPTIONS_H
#define DAEMON_NODE_NODE_OPTIONS_H

#include "daemon/dialect/dialect.h"
#include "daemon/entry/entry.h"
#include "daemon/peer/peer_pool.h"
#include "daemon/sidecar/peer_service.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/view/local_backend.h"
#include "policy/fleet/join_options.h"
#include "settings/node/node_settings.h"
#include "store/core/store_operations.h"

namespace magnolia::daemon {

// Options of the parts of a node, from its settings.
[[nodiscard]] PeerPool::Options
poolOptions(const settings::NodeSettings &Settings, const PeerIdentity &Own);
[[nodiscard]] SidecarOptions
sidecarOptions(const settings::NodeSettings &Settings, const Dialect &Speaks,
               policy::Incarnation Run);
[[nodiscard]] EntryOptions entryOptions(const settings::NodeSettings &Settings,
                                        const Dialect &Speaks,
                                        policy::NodeId Id,
                                        policy::Incarnation Run);
[[nodiscard]] PeerServiceOptions
peerOptions(const settings::NodeSettings &Settings, const PeerIdentity &Own);
[[nodiscard]] policy::JoinOptions
joinOptions(const settings::NodeSettings &Settings);

// Where callers are served.
[[nodiscard]] settings::HostPort
callersOf(const settings::NodeSettings &Settings);

// Operations of the store; none where the node has no store.
[[nodiscard]] store::StoreOperations
openStore(const settings::NodeSettings &Settings, const Dialect &Speaks);

// Backend server that the settings name.
[[nodiscard]] LocalBackendState
backendFromSettings(const settings::NodeSettings &Settings);

} // namespace magnolia::daemon

#endif
