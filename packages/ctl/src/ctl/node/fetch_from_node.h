#ifndef CTL_NODE_FETCH_FROM_NODE_H
#define CTL_NODE_FETCH_FROM_NODE_H

#include "policy/core/error.h"
#include "settings/node/node_settings.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace magnolia::ctl {

// Values of the query of a request, by name.
using QueryValues = std::multimap<std::string, std::string>;

// Reads a path of a node's own HTTP interface and returns the body of a
// response with status 200.
using NodeFetcher = std::function<std::optional<std::string>(
    const settings::HostPort &Node, const std::string &Path,
    const QueryValues &Query, std::chrono::milliseconds Timeout,
    policy::Error &LastError)>;

// Returns a fetcher that opens a connection for each request.
[[nodiscard]] NodeFetcher httpNodeFetcher();

} // namespace magnolia::ctl

#endif
