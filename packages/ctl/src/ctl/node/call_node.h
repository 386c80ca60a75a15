#ifndef CTL_NODE_CALL_NODE_H
#define CTL_NODE_CALL_NODE_H

#include "policy/core/error.h"
#include "settings/node/node_settings.h"
#include "wire/control.pb.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace magnolia::ctl {

// Sends one control request to a node and returns its response. Can be
// called from several threads.
using NodeCaller = std::function<std::optional<wire::ControlBody>(
    const settings::HostPort &Node, const wire::ControlBody &Request,
    std::chrono::milliseconds Timeout, policy::Error &LastError)>;

// Returns a caller that opens a TCP connection for each request and
// authenticates messages with the cluster key.
[[nodiscard]] NodeCaller tcpNodeCaller(std::string ClusterKey);

// Formats the address as ADDRESS:PORT for messages.
[[nodiscard]] std::string toString(const settings::HostPort &Node);

} // namespace magnolia::ctl

#endif
