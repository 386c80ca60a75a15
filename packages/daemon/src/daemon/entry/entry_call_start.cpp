#include "daemon/entry/entry_call.h"

#include "daemon/entry/caller_watch.h"
#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "policy/overload/await_backends.h"
#include "policy/retry/plan_next.h"

#include <chrono>

// Wait of a call at a node that has just started and knows no backend server of
// the service yet.

namespace magnolia::daemon {

using policy::ErrorKind;
using policy::WaitStep;

namespace {

// Ends a wait, also if an exception ends the call.
class WaitEnd {
public:
  explicit WaitEnd(StartWaits &Waits) : Waits(Waits) {}
  WaitEnd(const WaitEnd &) = delete;
  WaitEnd &operator=(const WaitEnd &) = delete;
  ~WaitEnd() { Waits.end(); }

private:
  StartWaits &Waits;
};

} // namespace

void EntryCall::awaitBackends() {
  const policy::TimePoint Start = now();
  if (!Call.WorkloadAware || !Owner.Starting.isOpen(Start)) {
    return;
  }
  const bool HasObjective = Call.Request.Objective != policy::TimePoint{};
  const auto Until = Owner.Starting.begin(
      {.Deadline = State.Deadline,
       .Objective =
           HasObjective ? std::optional(Call.Request.Objective) : std::nullopt,
       .KnownServers = knownBackends(Start),
       .WorkloadAware = Call.WorkloadAware,
       .NodeStops = Owner.stop().has_value()},
      Start);
  if (!Until) {
    return;
  }
  const WaitEnd End(Owner.Starting);
  Owner.Use.Counts.count(Counter::StartWaits);
  const WaitStep Last = waitForBackends(*Until);
  const policy::TimePoint Now = now();
  StartWait = Now - Start;
  if (Last == WaitStep::Cancel) {
    Result = callErrorResponse(ErrorKind::Cancelled,
                               "the caller closed the connection");
  } else if (Last == WaitStep::Stop) {
    Result = callErrorResponse(ErrorKind::Shutdown, "the node stops");
  } else if (const auto Refusal = policy::checkFirst(State, Now);
             Refusal && Last == WaitStep::Forward) {
    Result = callErrorResponse(*Refusal, "refused by the entry node");
  }
}

WaitStep EntryCall::waitForBackends(policy::TimePoint Until) {
  WaitStep Step = WaitStep::Continue;
  while (Step == WaitStep::Continue) {
    sleepUnlessGone(policy::nextCheck(Until, now()));
    const std::size_t Known = knownBackends(now());
    if (Known > 0) {
      // The caller may have left since the wake-up.
      sleepUnlessGone(now());
    }
    Step = policy::nextStep({.Until = Until,
                             .KnownServers = Known,
                             .CallerGone = CallerGone,
                             .NodeStops = Owner.stop().has_value()},
                            now());
  }
  return Step;
}

void EntryCall::sleepUnlessGone(policy::TimePoint Until) {
  CallerWatch *const Caller = Call.Caller;
  pollfd Poll = Caller ? Caller->entry() : pollfd{.fd = -1};
  (void)waitReady({&Poll, 1}, Until, {}, Caller ? Caller->signal() : nullptr);
  if (Caller) {
    Caller->afterWait(Poll.revents, now());
    CallerGone = Caller->isGone();
  }
}

std::size_t EntryCall::knownBackends(policy::TimePoint Now) {
  // Applies the current view to the runtime of the service.
  (void)Owner.Services.find(*Owner.Use.Views.current(), Call.Request.Service,
                            Now);
  const std::lock_guard Lock(Call.Runtime->Mutex);
  return Call.Runtime->Route.Candidates.size();
}

void EntryCall::recordStartWait() const {
  if (!StartWait) {
    return;
  }
  const bool Served = !Result->Kind;
  if (Served) {
    Owner.Use.Counts.count(Counter::StartWaitsServed);
  }
  log(LogLevel::Info, "request waited for a backend server",
      {{"request", callerId()},
       {"service", std::string_view(Call.Request.Service)},
       {"route", std::string_view(Call.Route)},
       {"waited_ms",
        std::chrono::duration<double, std::milli>(*StartWait).count()},
       {"result", Served ? std::string_view("served")
                         : policy::errorEntry(*Result->Kind).Name}});
}

} // namespace magnolia::daemon
