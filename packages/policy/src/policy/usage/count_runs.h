#ifndef POLICY_USAGE_COUNT_RUNS_H
#define POLICY_USAGE_COUNT_RUNS_H

#include "policy/usage/run_counts.h"
#include "policy/usage/usage_message.h"
#include "policy/usage/usage_options.h"

#include <string_view>

namespace magnolia::policy {

// The functions take the time of the node's own clock.

// Counts a run that begins, and returns its window; 0 if it is not known yet. A
// run without an organisation is not counted.
UsageWindow countRun(RunCounts &State, std::string_view Organisation,
                     TimePoint Now, const UsageOptions &Options);

// Removes a run that the backend server refused. A window that is closed keeps
// it.
void uncountRun(RunCounts &State, std::string_view Organisation,
                UsageWindow Window);

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
