#ifndef BACKEND_ANNOUNCE_H
#define BACKEND_ANNOUNCE_H

#include <cstdint>

#include "backend/backend_options.h"

namespace magnolia::standin {

// Tells the node beside this server that it is here; tries for up to ten
// seconds. Returns whether the node accepted.
bool announce(const BackendOptions &Options, std::uint64_t Incarnation);

// Tells the node that this server is leaving; tries once.
bool withdraw(const BackendOptions &Options, std::uint64_t Incarnation);

} // namespace magnolia::standin

#endif
