#ifndef POLICY_ROLLOUT_ROUTE_ROWS_H
#define POLICY_ROLLOUT_ROUTE_ROWS_H

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace magnolia::policy {

// Numbers of the rows in which the responses of routes are counted. The first
// routes have a row each, and all others share a fixed number of rows, so that
// no route is left out and the memory is bounded. The row that a route shares
// follows from its name, which is why it has the same name on all nodes.
struct RouteRows {
  static constexpr std::size_t MaxOwn = 256;
  static constexpr std::size_t MaxShared = 128;
  static constexpr std::size_t MaxRows = MaxOwn + MaxShared;

  std::map<std::string, std::size_t, std::less<>> Numbers;
  // Number of rows with a single route.
  std::size_t Own = 0;
};

// Row of a route. The name is valid as long as the rows.
struct RouteRow {
  std::size_t Number = 0;
  std::string_view Name;
};

// Returns the row of the route, which is the next one if it has none yet. Route
// may also be the name of a shared row, as another node reports it.
[[nodiscard]] RouteRow rowOf(RouteRows &Rows, std::string_view Route);

} // namespace magnolia::policy

#endif
