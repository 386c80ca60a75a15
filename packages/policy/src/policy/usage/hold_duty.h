#ifndef POLICY_USAGE_HOLD_DUTY_H
#define POLICY_USAGE_HOLD_DUTY_H

#include "policy/usage/duty_action.h"
#include "policy/usage/duty_input.h"
#include "policy/usage/duty_state.h"
#include "policy/usage/usage_options.h"

#include <optional>

namespace magnolia::policy {

// Returns the next store call or report, or nothing if none is due. The state
// counts it as started; tell its outcome to the functions below. At most one
// store call and one report are in progress.
//
// Safety depends on the compare-and-swap and on the rates of the clocks only: a
// holder sends within the lease after the start of its last write, and another
// node replaces a record only after it has stayed the same for longer than a
// lease. While a report is pending, the holder writes its record again two
// leases after the last write.
[[nodiscard]] std::optional<DutyAction>
nextDutyAction(DutyState &State, const DutyInput &Input,
               const UsageOptions &Options);

// Revision is that of the written record.
void onDutyWritten(DutyState &State, WriteOutcome Outcome,
                   std::uint64_t Revision, TimePoint Now);

// Read is empty if the store could not be read.
void onDutyRead(DutyState &State, const std::optional<SeenDuty> &Read,
                TimePoint Now);

// Late tells that the report was due before.
void onDutySent(DutyState &State, UsageWindow Window, SendOutcome Outcome,
                bool Late, TimePoint Now);

// Joins the facts of another node. Holds tells that it is the holder.
void onDutyFacts(DutyState &State, const DutyFacts &Facts, NodeId From,
                 bool Holds, TimePoint Now);

} // namespace magnolia::policy

#endif
