#include "policy/overload/await_backends.h"

#include <algorithm>
#include <chrono>

namespace magnolia::policy {

namespace {

using namespace std::chrono_literals;

// Nodes learn of the backend servers within 0.6 s of their start; three times
// as long leaves time for one that has to ask again.
constexpr Duration StartPhase = 2s;
// Bounds the memory of the requests that are held.
constexpr std::uint32_t MaxWaiting = 64;
// Largest part of the time until the objective that a request may wait, so that
// it can still meet the objective.
constexpr double ObjectivePart = 0.3;
constexpr Duration WaitWithoutObjective = 100ms;
constexpr Duration MaxWait = 500ms;
// Short against the wait; a check only reads the number of servers.
constexpr Duration CheckInterval = 20ms;

Duration longestWait(const UnservedRequest &Request, TimePoint Now) {
  if (!Request.Objective) {
    return WaitWithoutObjective;
  }
  const auto Part = std::chrono::duration_cast<Duration>(
      ObjectivePart * (*Request.Objective - Now));
  return std::min(Part, MaxWait);
}

} // namespace

bool isStarting(TimePoint NodeStart, TimePoint Now) {
  return Now - NodeStart < StartPhase;
}

std::optional<TimePoint>
beginWait(BackendWaits &State, const UnservedRequest &Request, TimePoint Now) {
  if (!Request.WorkloadAware || Request.NodeStops || Request.KnownServers > 0 ||
      !isStarting(State.NodeStart, Now) || State.Waiting >= MaxWaiting) {
    return std::nullopt;
  }
  const TimePoint Until =
      std::min(Now + longestWait(Request, Now), Request.Deadline);
  if (Until <= Now) {
    return std::nullopt;
  }
  ++State.Waiting;
  return Until;
}

void endWait(BackendWaits &State) { --State.Waiting; }

TimePoint nextCheck(TimePoint Until, TimePoint Now) {
  return std::min(Until, Now + CheckInterval);
}

WaitStep nextStep(const WaitProgress &Progress, TimePoint Now) {
  if (Progress.CallerGone) {
    return WaitStep::Cancel;
  }
  if (Progress.NodeStops) {
    return WaitStep::Stop;
  }
  if (Progress.KnownServers > 0) {
    return WaitStep::Forward;
  }
  return Now >= Progress.Until ? WaitStep::Expire : WaitStep::Continue;
}

} // namespace magnolia::policy
