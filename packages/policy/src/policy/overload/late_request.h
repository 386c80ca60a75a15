#ifndef POLICY_OVERLOAD_LATE_REQUEST_H
#define POLICY_OVERLOAD_LATE_REQUEST_H

#include "policy/core/types.h"

#include <optional>

namespace magnolia::policy {

// Request that arrives at a node that is stopping.
struct LateRequest {
  TimePoint Deadline{};
  // Latency that the route aims for; 0 if it states none.
  Duration Objective{};
  bool Idempotent = false;
};

// Course of a planned stop.
struct StopWindow {
  // Time by which callers and other nodes know that the node is leaving.
  TimePoint Announced{};
  // Time at which requests that still run are cut.
  TimePoint End{};
};

// Returns the deadline with which the request may run at a stopping entry node,
// or nothing if it has to be rejected as not run. A request runs if its
// deadline is before the end of the stop, because its objective does not limit
// how long it may take. Only an idempotent request of a caller that cannot know
// of the stop yet may be cut: its caller can repeat it.
[[nodiscard]] std::optional<TimePoint>
deadlineBeforeStop(const LateRequest &Late, const StopWindow &Stop,
                   TimePoint Now);

// Returns the time after the signal to stop at which requests that still run
// are cut, for a process that is killed after Grace.
[[nodiscard]] Duration timeForRequests(Duration Grace);

} // namespace magnolia::policy

#endif
