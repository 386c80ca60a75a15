#ifndef CTL_NODE_IN_EFFECT_H
#define CTL_NODE_IN_EFFECT_H

#include "ctl/core/context.h"
#include "ctl/core/exit_code.h"
#include "ctl/node/fleet_state.h"

namespace magnolia::ctl {

// Gets the list of members from the nodes of the command line, then the
// revisions of every live member.
[[nodiscard]] FleetState askFleet(Context &Run, const KeyRevisions &Wanted);

// Polls until the change is in effect on all live members or the timeout has
// passed, and prints the progress. Returns NotInEffect after the
// timeout or if no node is given.
ExitCode waitInEffect(Context &Run, const KeyRevisions &Wanted);

} // namespace magnolia::ctl

#endif
