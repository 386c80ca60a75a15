#include "daemon/entry/entry_call.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "policy/chain/count_runs.h"

#include <chrono>

// Admission of a call by the losses of nested calls, and the return of its
// caller after a rejection.

namespace magnolia::daemon {

using Milliseconds = std::chrono::duration<double, std::milli>;

policy::RouteArrival arrivalOf(const EntryCall::Parameters &Call) {
  return {.Route = Call.Request.Route,
          .Priority = Call.Request.Priority,
          .CallerDeadline = Call.CallerDeadline,
          .Nested = Call.Request.Nested,
          .Aware = Call.WorkloadAware};
}

bool isShedByLosses(const EntryOptions &Options,
                    const EntryCall::Parameters &Call) {
  return Options.ShedByLosses && Call.WorkloadAware && !Call.Request.Nested;
}

bool EntryCall::admitByLosses(policy::TimePoint Now) {
  if (!isShedByLosses(Owner.Options, Call)) {
    return true;
  }
  // The counts of the own backend server need no response.
  reportCounts(Owner.Options.Node,
               Owner.Use.Own.running().counts(Call.Request.Route, Now), Now);
  const policy::RouteDecision Decision = Owner.Gate.admit(arrivalOf(Call), Now);
  if (Decision.Returned) {
    Owner.Use.Counts.count(Counter::ReturnsKept);
  }
  if (!Decision.Admitted) {
    Owner.Use.Counts.count(Counter::RequestsShed);
    Shed = Decision;
  }
  return Decision.Admitted;
}

void EntryCall::reportCounts(policy::NodeId Sidecar,
                             const policy::RouteCounts &Counts,
                             policy::TimePoint Now) {
  if (Call.WorkloadAware && Counts.Runs > 0) {
    Owner.Gate.onCounts(Call.Request.Route, Sidecar, Counts, Now);
  }
}

void EntryCall::applyResult(policy::TimePoint Now) {
  if (!Call.WorkloadAware) {
    return;
  }
  if (Call.Request.Nested) {
    if (policy::isLost({.Kind = Result->Kind,
                        .Status = Result->Status,
                        .RouteLosses = Result->RouteLosses}) &&
        Owner.Use.Own.running().markLostCall(
            Owner.dialect().ParentOf(callerId()))) {
      Owner.Use.Counts.count(Counter::NestedCallsLost);
    }
  } else if (Result->Kind && policy::errorEntry(*Result->Kind).Retryable) {
    ReturnAfter = Owner.Gate.planReturn(arrivalOf(Call), *Result->Kind, Now);
  }
  if (Shed) {
    logShed();
  }
}

void EntryCall::logShed() const {
  const policy::RouteEvidence &Evidence = Shed->Evidence;
  log(LogLevel::Info, "request shed",
      {{"request", callerId()},
       {"service", std::string_view(Call.Request.Service)},
       {"route", std::string_view(Call.Request.Route)},
       {"priority", std::uint64_t{Call.Request.Priority}},
       {"share", Shed->Share},
       {"higher_share", Shed->HigherShare},
       {"runs", Evidence.Runs},
       {"losses", Evidence.Losses},
       {"age_ms", Milliseconds(Evidence.Age).count()},
       {"retry_after_ms",
        Milliseconds(ReturnAfter.value_or(policy::Duration{})).count()}});
}

} // namespace magnolia::daemon
