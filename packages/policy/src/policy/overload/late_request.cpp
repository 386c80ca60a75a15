#include "policy/overload/late_request.h"

namespace magnolia::policy {

namespace {

// A request of a route usually ends within this multiple of its objective.
constexpr int UsualObjectives = 2;

} // namespace

std::optional<TimePoint> deadlineBeforeStop(const LateRequest &Late,
                                            TimePoint Now, TimePoint StopEnd) {
  if (Late.Deadline <= StopEnd) {
    return Late.Deadline;
  }
  const bool EndsUsually = Late.Objective > Duration{0} &&
                           Now + UsualObjectives * Late.Objective <= StopEnd;
  return EndsUsually ? std::optional(StopEnd) : std::nullopt;
}

} // namespace magnolia::policy
