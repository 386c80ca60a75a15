#ifndef CTL_NODE_PUSH_H
#define CTL_NODE_PUSH_H

#include "ctl/core/context.h"
#include "store/core/entry.h"

#include <vector>

namespace magnolia::ctl {

// Pushes accepted entries to the nodes of the command line, so that they are
// propagated without the store. Returns the number of nodes that accepted them.
// A node that does not is only reported, because the entries also propagate
// through the other nodes and the store.
std::size_t pushEntries(Context &Run, const std::vector<store::Entry> &Entries);

} // namespace magnolia::ctl

#endif
