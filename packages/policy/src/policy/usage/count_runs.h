#ifndef POLICY_USAGE_COUNT_RUNS_H
#define POLICY_USAGE_COUNT_RUNS_H

#include "policy/usage/run_counts.h"
#include "policy/usage/usage_message.h"
#include "policy/usage/usage_options.h"

#include <optional>
#include <string_view>

namespace magnolia::policy {

// The functions take the time of the node's own clock.

// Counts a run that begins, and returns its window. Returns nothing while the
// true time is not known, and for a run without an organisation, which is not
// counted.
std::optional<UsageWindow> countRun(RunCounts &State,
                                    std::string_view Organisation,
                                    TimePoint Now, const UsageOptions &Options);

// Removes a run that the backend server refused. Window is what countRun
// returned. A window that is closed keeps the run, as does the window to which
// the runs from before the first true time have moved.
void uncountRun(RunCounts &State, std::string_view Organisation,
                std::optional<UsageWindow> Window);

// Applies the true time that a collector told.
void setTrueTime(RunCounts &State, TimePoint True, TimePoint Now,
                 const UsageOptions &Options);

// Closes the windows that have ended and returns the message for a collector.
// Node, Run and Wall of the message are the caller's to set.
[[nodiscard]] UsageMessage messageFor(RunCounts &State, NodeId Collector,
                                      TimePoint Now,
                                      const UsageOptions &Options);

// Handles the answer of a collector to a message with windows up to Closed.
void onCollected(RunCounts &State, NodeId Collector, Incarnation Run,
                 UsageWindow Closed);

// Handles a change of the node's incarnation while it runs. The collectors keep
// what they have as the counts of the former one, so it must not be sent again.
void onNewIncarnation(RunCounts &State);

} // namespace magnolia::policy

#endif
