#ifndef CTL_COMMAND_RUN_COMMAND_H
#define CTL_COMMAND_RUN_COMMAND_H

#include "ctl/core/context.h"
#include "ctl/core/exit_code.h"

namespace magnolia::ctl {

// Runs the command that the options select.
ExitCode runCommand(Context &Run);

} // namespace magnolia::ctl

#endif
