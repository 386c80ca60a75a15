#ifndef DAEMON_NODE_NODE_OPTIONS_H
#define DAEMON_NODE_NODE_OPTIONS_H

#include "daemon/dialect/dialect.h"
#include "daemon/entry/entry.h"
#include "daemon/peer/peer_pool.h"
#include "daemon/sidecar/peer_service.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/usage/usage_setup.h"
#include "daemon/view/local_backend.h"
#include "policy/fleet/join_options.h"
#include "settings/node/node_settings.h"
#include "store/core/store_operations.h"

#include <optional>

namespace magnolia::daemon {

// Return the options of the components of a node from its settings.
[[nodiscard]] PeerPool::Options
poolOptions(const settings::NodeSettings &Settings, const PeerIdentity &Own);
[[nodiscard]] SidecarOptions
sidecarOptions(const settings::NodeSettings &Settings, const Dialect &Speaks,
               policy::Incarnation Run, BodyMemory &Memory,
               const LinkPacer &Link, RunCounter *Runs = nullptr);
[[nodiscard]] EntryOptions
entryOptions(const settings::NodeSettings &Settings, const Dialect &Speaks,
             policy::NodeId Id, policy::Incarnation Run, BodyMemory &Memory);
[[nodiscard]] policy::HedgeOptions
hedgeOptions(const settings::NodeSettings &Settings);
[[nodiscard]] PeerServiceOptions
peerOptions(const settings::NodeSettings &Settings, const PeerIdentity &Own,
            BodyMemory &Memory, LinkPacer &Link);
[[nodiscard]] policy::JoinOptions
joinOptions(const settings::NodeSettings &Settings);

// Returns the receiver of the usage report; empty if the settings name none or
// the dialect has no such report.
[[nodiscard]] std::optional<UsageSetup>
usageSetup(const settings::NodeSettings &Settings, const Dialect &Speaks);

// Address on which callers are served.
[[nodiscard]] settings::HostPort
callerEndpoint(const settings::NodeSettings &Settings);

// Returns the operations of the store; they are empty if the node has no store.
[[nodiscard]] store::StoreOperations
openStore(const settings::NodeSettings &Settings, const Dialect &Speaks);

// Returns the state of the backend server that the settings specify.
[[nodiscard]] LocalBackendState
backendFromSettings(const settings::NodeSettings &Settings);

} // namespace magnolia::daemon

#endif
