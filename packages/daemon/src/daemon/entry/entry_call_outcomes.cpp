#include "daemon/entry/entry_call.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "policy/retry/plan_next.h"

#include <utility>

// Decisions after an attempt has ended: retry, hedge, fence, or end of the
// call.

namespace magnolia::daemon {

using policy::ErrorKind;
using policy::OutcomeEvent;

void EntryCall::resolve(const policy::Outcome &First, const Attempt *Lost) {
  if (Held && InFlight.empty()) {
    Owner.Use.Counts.count(Counter::Responses);
    Result = std::move(*Held);
    return;
  }
  std::optional<policy::Outcome> Next = First;
  while (Next) {
    policy::RetryDecision Decision;
    {
      const std::lock_guard Lock(Call.Runtime->Mutex);
      Decision = policy::planNext(State, *Next, Call.Runtime->Retries, now());
    }
    Next.reset();
    switch (Decision.Action) {
    case policy::RetryAction::RetryElsewhere:
      Owner.Use.Counts.count(Counter::Retries);
      Next = startAttempt();
      break;
    case policy::RetryAction::Hedge:
      Owner.Use.Counts.count(Counter::Hedges);
      Next = startAttempt();
      break;
    case policy::RetryAction::Fence:
      Next = fence(*Lost);
      break;
    case policy::RetryAction::KeepWaiting:
      break;
    case policy::RetryAction::GiveUp:
      finishWithError(Decision);
      break;
    }
  }
}

policy::Outcome EntryCall::fence(const Attempt &Lost) {
  Metrics &Counts = Owner.Use.Counts;
  Counts.count(Counter::Fences);
  FenceResult Fenced = FenceResult::NoResponse;
  if (Lost.Remote) {
    Fenced = Owner.Use.Peers.fence(Lost.Peer, Call.Request.Id, Lost.SentTo,
                                   now() + Owner.Options.FenceTimeout);
  } else {
    Fenced = Owner.Use.Own.fence(Call.Request.Id, now()) ? FenceResult::NeverRun
                                                         : FenceResult::Started;
  }
  policy::onAttemptEnd(State);
  log(LogLevel::Warning, "request fenced",
      {{"request", callerId()},
       {"sidecar", std::string_view(Lost.Peer.Address)},
       {"never_run", Fenced == FenceResult::NeverRun},
       {"silent", Fenced == FenceResult::NoResponse}});
  switch (Fenced) {
  case FenceResult::NeverRun:
    Counts.count(Counter::FencesNeverRun);
    LastError = callErrorResponse(ErrorKind::Fenced,
                                  "the sidecar did not respond; the request is "
                                  "fenced and will never run");
    return {.Event = OutcomeEvent::FenceNeverRun, .Kind = ErrorKind::Fenced};
  case FenceResult::Started:
    Counts.count(Counter::FencesStarted);
    return {.Event = OutcomeEvent::FenceStarted,
            .Kind = ErrorKind::OutcomeUnknown};
  case FenceResult::NoResponse:
    break;
  }
  Counts.count(Counter::FencesSilent);
  return {.Event = OutcomeEvent::FenceSilent,
          .Kind = ErrorKind::OutcomeUnknown};
}

void EntryCall::finishWithError(const policy::RetryDecision &Decision) {
  Exhausted = Decision.RetriesExhausted;
  Result = callErrorResponse(
      Decision.Kind, LastError ? std::move(LastError->Detail) : std::string());
}

} // namespace magnolia::daemon
