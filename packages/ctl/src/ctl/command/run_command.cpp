#include "ctl/command/run_command.h"

#include "ctl/command/internal/commands.h"

namespace magnolia::ctl {
namespace {

ExitCode dispatch(Context &Run) {
  switch (Run.Options.Selected) {
  case Command::Help:
    return ExitCode::Done;
  case Command::Validate:
    return internal::validate(Run);
  case Command::Publish:
    return internal::publish(Run);
  case Command::Status:
    return internal::status(Run);
  case Command::Dump:
    return internal::dump(Run);
  case Command::ZoneOut:
    return internal::setZone(Run, true);
  case Command::ZoneIn:
    return internal::setZone(Run, false);
  case Command::MoveStart:
    return internal::startRollout(Run);
  case Command::MoveStatus:
    return internal::showRollout(Run);
  case Command::MoveTakeBack:
    return internal::rollBackRollout(Run);
  case Command::Wait:
    return internal::wait(Run);
  case Command::Where:
    return internal::where(Run);
  }
  return ExitCode::Usage;
}

} // namespace

ExitCode runCommand(Context &Run) {
  const ExitCode Code = dispatch(Run);
  Run.Out.Document["outcome"] = toString(Code);
  Run.Out.finish();
  return Code;
}

} // namespace magnolia::ctl
