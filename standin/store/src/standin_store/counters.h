#ifndef STANDIN_STORE_COUNTERS_H
#define STANDIN_STORE_COUNTERS_H

#include <cstdint>
#include <map>
#include <string>

namespace magnolia::standin {

// Calls received since the start, whatever their outcome.
struct Counters {
  // Keys: read, range, put, delete, watch, lease_grant, lease_keepalive,
  // lease_revoke.
  std::map<std::string, std::uint64_t> Calls;
  std::uint64_t WaitingWatches = 0;
};

} // namespace magnolia::standin

#endif
