#ifndef CTL_CORE_EXIT_CODE_H
#define CTL_CORE_EXIT_CODE_H

#include <string_view>

namespace magnolia::ctl {

// Exit codes of magnoliactl, for scripts.
enum class ExitCode : int {
  // The command succeeded and its change is in effect on all live members.
  Done = 0,
  // Only the changes that were printed as accepted took effect.
  Failed = 1,
  Usage = 2,
  // Another operator or the driver of a rollout changed a key at the same time.
  Conflict = 3,
  // The store does not respond, so a write may have taken effect or not.
  OutcomeUnknown = 4,
  // The store has accepted the change, but it is not known to be in effect on
  // all live members.
  NotInEffect = 5,
};

// Returns the name in the JSON output.
[[nodiscard]] std::string_view toString(ExitCode Code);

// Returns the code to report for two parts of one command: the more urgent one
// for the operator.
[[nodiscard]] ExitCode worse(ExitCode Left, ExitCode Right);

} // namespace magnolia::ctl

#endif
