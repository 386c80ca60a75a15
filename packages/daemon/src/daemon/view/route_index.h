#ifndef DAEMON_VIEW_ROUTE_INDEX_H
#define DAEMON_VIEW_ROUTE_INDEX_H

#include "settings/record/host_route.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia::daemon {

// Routes in the order of host and prefix; routes with the same host and prefix
// are in descending order of their names. They lie in blocks, which the
// indexes of successive tables share as long as nothing in them changes.
struct RouteIndex {
  using Route = std::shared_ptr<const settings::HostRoute>;
  using Block = std::vector<Route>;

  // No block is empty.
  std::vector<std::shared_ptr<const Block>> Blocks;
  // Number of routes.
  std::size_t Size = 0;
};

// Returns the index with the changes. Routes without a change are shared with
// the last index. The cost is proportional to the number of changes, beyond one
// step for each block.
[[nodiscard]] RouteIndex withChanges(const RouteIndex &Last,
                                     std::span<const RouteIndex::Route> Removed,
                                     std::span<const RouteIndex::Route> Added);

// Returns the route of the host with the longest prefix of the path, or null.
// Of several routes with that prefix it is the one with the lowest name. The
// cost is one binary search, and another one for each point at which the path
// branches off from prefixes that are nested deeper.
[[nodiscard]] const settings::HostRoute *findRoute(const RouteIndex &Routes,
                                                   std::string_view Host,
                                                   std::string_view Path);

} // namespace magnolia::daemon

#endif
