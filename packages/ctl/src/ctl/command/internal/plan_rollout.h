#ifndef CTL_COMMAND_INTERNAL_PLAN_ROLLOUT_H
#define CTL_COMMAND_INTERNAL_PLAN_ROLLOUT_H

#include "ctl/change/change.h"
#include "ctl/core/context.h"
#include "ctl/core/exit_code.h"
#include "settings/service/rollout_plan.h"

#include <optional>
#include <string>

namespace magnolia::ctl::internal {

// Decision on a requested rollout.
struct RolloutDecision {
  // Done with a change to write, or without one if the same rollout exists.
  ExitCode Code = ExitCode::Failed;
  std::optional<Change> Start;
  // Why there is no change to write.
  std::string Reason;
};

// Compares the plan with the service's record in the store. A published plan
// does not restart a rollout between the same versions that has ended. An
// explicit start does.
[[nodiscard]] RolloutDecision
planRollout(Context &Run, const std::string &Service,
            const settings::RolloutPlan &Plan,
            const std::optional<store::Entry> &Existing, bool Published);

} // namespace magnolia::ctl::internal

#endif
