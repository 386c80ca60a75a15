#ifndef CTL_NODE_FLEET_STATE_H
#define CTL_NODE_FLEET_STATE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnolia::ctl {

// Revision that each key has to reach.
using KeyRevisions = std::map<std::string, std::uint64_t>;

// How many members a change has reached.
struct FleetState {
  // Members that are alive or suspect, and the nodes of the command line.
  std::size_t Live = 0;
  // Live members that report every key at its revision or a later one.
  std::size_t InEffect = 0;
  // Members that are not queried because other members cannot reach them.
  std::size_t Unreachable = 0;
  // Control addresses of live members that are behind or do not respond.
  std::vector<std::string> Behind;

  [[nodiscard]] bool complete() const { return Live > 0 && InEffect == Live; }
};

} // namespace magnolia::ctl

#endif
