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
};

// Returns the deadline with which the request may run, so that it ends before
// the node does, or nothing if it is not expected to end in time. Answers the
// load of callers that keep sending on open connections during a stop.
[[nodiscard]] std::optional<TimePoint>
deadlineBeforeStop(const LateRequest &Late, TimePoint Now, TimePoint StopEnd);

} // namespace magnolia::policy

#endif
