#ifndef CTL_NODE_PUSH_H
#define CTL_NODE_PUSH_H

#include "ctl/core/context.h"
#include "store/core/entry.h"

#include <vector>

namespace magnolia::ctl {

// Hands accepted entries to the nodes of the command line, so that they spread
// without the store. Returns how many nodes took them; a node that does not is
// reported and not an error, because the others and the store remain.
std::size_t pushEntries(Context &Run, const std::vector<store::Entry> &Entries);

} // namespace magnolia::ctl

#endif
