#ifndef POLICY_USAGE_MERGE_H
#define POLICY_USAGE_MERGE_H

#include "policy/usage/usage_message.h"
#include "policy/usage/usage_options.h"
#include "policy/usage/usage_totals.h"

#include <span>

namespace magnolia::policy {

// Adds the counts of a message. A message that is older than another one of its
// node changes nothing.
void addMessage(UsageTotals &State, const UsageMessage &Message, TimePoint Now);

// Forgets the windows up to this one, which was recorded.
void forgetWindows(UsageTotals &State, UsageWindow Recorded);

// Returns the counts of a window, with those of nodes that have not closed it.
[[nodiscard]] OrganisationCounts countsOf(const UsageTotals &State,
                                          UsageWindow Window);

// Returns the first window for which there are counts; 0 for none.
[[nodiscard]] UsageWindow firstWindow(const UsageTotals &State);

// Returns whether a window is final: it has ended and every reporting node has
// closed it, or the wait for them is over.
[[nodiscard]] bool isFinal(const UsageTotals &State, UsageWindow Window,
                           std::span<const NodeId> Reporting, TimePoint True,
                           const UsageOptions &Options);

} // namespace magnolia::policy

#endif
