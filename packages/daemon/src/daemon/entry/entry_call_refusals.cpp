#include "daemon/entry/call_identity.h"
#include "daemon/entry/entry_call.h"

#include "daemon/net/clock.h"
#include "policy/overload/admit_service.h"
#include "policy/overload/late_request.h"
#include "policy/probe/next_probe.h"
#include "policy/retry/plan_next.h"

// Reasons to end a call before it sends an attempt.

namespace magnolia::daemon {

using policy::ErrorKind;

std::optional<ErrorKind> EntryCall::initialRefusal() {
  const policy::TimePoint Now = now();
  if (State.Hops > Owner.Options.Hops) {
    return ErrorKind::TooManyHops;
  }
  if (const auto Refusal = policy::checkFirst(State, Now)) {
    return Refusal;
  }
  if (!limitToStop(Now)) {
    return ErrorKind::Shutdown;
  }
  if (!admitByLosses(Now)) {
    return ErrorKind::Overloaded;
  }
  ServiceRuntime &Runtime = *Call.Runtime;
  const std::lock_guard Lock(Runtime.Mutex);
  policy::recordRequest(Runtime.Probes, Now);
  if (!policy::admitService(Runtime.Overload, Now, threadEngine())) {
    return ErrorKind::Overloaded;
  }
  policy::recordRequest(Runtime.Retries, Now);
  return std::nullopt;
}

std::optional<ErrorKind> EntryCall::keyRefusal() const {
  return Call.Key ? refusalOf(*Owner.Use.Views.current(), *Call.Key,
                              Call.Request.Organisation)
                  : std::nullopt;
}

std::optional<policy::TimePoint>
deadlineBeforeStop(const CallRequest &Request, const policy::StopWindow &Stop,
                   policy::TimePoint Now) {
  const bool HasObjective = Request.Objective != policy::TimePoint{};
  return policy::deadlineBeforeStop(
      {.Deadline = Request.Deadline,
       .Objective = HasObjective ? Request.Objective - Now : policy::Duration{},
       .Idempotent = Request.Idempotent},
      Stop, Now);
}

bool EntryCall::limitToStop(policy::TimePoint Now) {
  const auto Stop = Owner.stop();
  if (!Stop) {
    return true;
  }
  const auto Deadline = deadlineBeforeStop(Call.Request, *Stop, Now);
  if (Deadline) {
    State.Deadline = Call.Request.Deadline = *Deadline;
  }
  return Deadline.has_value();
}

} // namespace magnolia::daemon
