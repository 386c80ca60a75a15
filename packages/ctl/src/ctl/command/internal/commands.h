#ifndef CTL_COMMAND_INTERNAL_COMMANDS_H
#define CTL_COMMAND_INTERNAL_COMMANDS_H

#include "ctl/core/context.h"
#include "ctl/core/exit_code.h"

namespace magnolia::ctl::internal {

// One function per command of magnoliactl.
ExitCode validate(Context &Run);
ExitCode publish(Context &Run);
ExitCode setZone(Context &Run, bool Out);
ExitCode startRollout(Context &Run);
ExitCode showRollout(Context &Run);
ExitCode rollBackRollout(Context &Run);
ExitCode status(Context &Run);
ExitCode dump(Context &Run);
ExitCode wait(Context &Run);
ExitCode where(Context &Run);

} // namespace magnolia::ctl::internal

#endif
