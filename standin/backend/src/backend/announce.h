#ifndef BACKEND_ANNOUNCE_H
#define BACKEND_ANNOUNCE_H

#include <cstdint>

#include "backend/backend_options.h"

namespace magnolia::standin {

// Registers this server with the local node and retries for up to ten
// seconds. Returns whether the node accepted.
bool announce(const BackendOptions &Options, std::uint64_t Incarnation);

// Deregisters this server from the node, without a retry.
bool deregister(const BackendOptions &Options, std::uint64_t Incarnation);

} // namespace magnolia::standin

#endif
