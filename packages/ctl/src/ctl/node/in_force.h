#ifndef CTL_NODE_IN_FORCE_H
#define CTL_NODE_IN_FORCE_H

#include "ctl/core/context.h"
#include "ctl/core/exit_code.h"
#include "ctl/node/fleet_state.h"

namespace magnolia::ctl {

// Asks the nodes of the command line for the members, then every live member
// for its revisions.
[[nodiscard]] FleetState askFleet(Context &Run, const KeyRevisions &Wanted);

// Asks until the change is in force on all live members or the timeout has
// passed, printing progress. NotInForce without a node to ask.
ExitCode waitInForce(Context &Run, const KeyRevisions &Wanted);

} // namespace magnolia::ctl

#endif
