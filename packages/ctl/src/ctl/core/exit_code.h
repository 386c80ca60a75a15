#ifndef CTL_CORE_EXIT_CODE_H
#define CTL_CORE_EXIT_CODE_H

#include <string_view>

namespace magnolia::ctl {

// Exit codes of magnoliactl, for scripts.
enum class ExitCode : int {
  // What was asked for is in force on all live members.
  Done = 0,
  // Nothing more than what was printed took effect.
  Failed = 1,
  Usage = 2,
  // Another operator or a driver changed a key at the same time.
  Conflict = 3,
  // A write may have taken effect; the store does not respond.
  OutcomeUnknown = 4,
  // Accepted by the store, and not yet known to be in force everywhere.
  NotInForce = 5,
};

// Name in the JSON output.
[[nodiscard]] std::string_view toString(ExitCode Code);

// The code to report for two parts of one command: the one that calls more
// urgently for an operator.
[[nodiscard]] ExitCode worse(ExitCode Left, ExitCode Right);

} // namespace magnolia::ctl

#endif
