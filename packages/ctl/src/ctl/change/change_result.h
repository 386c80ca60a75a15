#ifndef CTL_CHANGE_CHANGE_RESULT_H
#define CTL_CHANGE_CHANGE_RESULT_H

#include "ctl/core/exit_code.h"
#include "store/core/entry.h"

#include <optional>

namespace magnolia::ctl {

// Outcome of one change.
struct ChangeResult {
  // Done if the store has accepted the change.
  ExitCode Code = ExitCode::Failed;
  // Entry in the store after the change.
  std::optional<store::Entry> Accepted;
};

} // namespace magnolia::ctl

#endif
