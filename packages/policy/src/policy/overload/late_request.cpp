#include "policy/overload/late_request.h"

#include <algorithm>
#include <chrono>

namespace magnolia::policy {

namespace {

// A request of a route usually ends within this multiple of its objective.
constexpr int UsualObjectives = 2;
// Time that the process needs to end after its last request, and the largest
// part of the grace time that is given to it.
constexpr Duration TimeToExit = std::chrono::seconds(1);
constexpr int ExitDivisor = 6;

bool usuallyEnds(const LateRequest &Late, TimePoint Now, TimePoint End) {
  return Late.Objective > Duration{0} &&
         Now + UsualObjectives * Late.Objective <= End;
}

} // namespace

std::optional<TimePoint> deadlineBeforeStop(const LateRequest &Late,
                                            const StopWindow &Stop,
                                            TimePoint Now) {
  if (Late.Deadline <= Stop.End) {
    return Late.Deadline;
  }
  const bool MayBeCut = Late.Idempotent && Now <= Stop.Announced &&
                        usuallyEnds(Late, Now, Stop.End);
  return MayBeCut ? std::optional(Stop.End) : std::nullopt;
}

Duration timeForRequests(Duration Grace) {
  return Grace - std::min(TimeToExit, Grace / ExitDivisor);
}

} // namespace magnolia::policy
