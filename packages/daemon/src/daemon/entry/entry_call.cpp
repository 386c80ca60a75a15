#include "daemon/entry/entry_call.h"

#include "daemon/entry/caller_watch.h"
#include "daemon/net/adaptive_spin.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "policy/overload/admit_service.h"
#include "policy/retry/plan_next.h"
#include "policy/route/choose.h"

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

using policy::ErrorKind;
using policy::OutcomeEvent;

namespace {

// Time that the entry node waits after the deadline for the sidecar to report
// whether the request ran.
constexpr policy::Duration DeadlineGrace = std::chrono::milliseconds(25);

// Idle time after which a connection is checked by a ping sent with the
// request.
constexpr policy::Duration CheckAfterIdle = std::chrono::seconds(1);

// Number of attempts that a slow backend server may reject so that the request
// goes to another one.
constexpr std::uint32_t ChoiceAttempts = 3;

constexpr std::uint16_t FirstServerError = 500;

} // namespace

policy::RouteQuery routeQueryOf(const EntryCall::Parameters &Call) {
  const CallRequest &Request = Call.Request;
  policy::RouteQuery Query{.Idempotent = Request.Idempotent,
                           .LargeBody = Request.Bulk && !Request.Idempotent,
                           .WorkloadAware = Call.WorkloadAware};
  if (!Request.Idempotent && !Request.IdempotencyKey.empty()) {
    Query.Key = policy::hashOf(Request.IdempotencyKey);
  }
  return Query;
}

EntryCall::EntryCall(Entry &Owner, Parameters Parameters)
    : Owner(Owner), Call(std::move(Parameters)) {
  State.Idempotent = Call.Request.Idempotent;
  State.Hops = Call.Request.Hops;
  State.Deadline = Call.Request.Deadline;
  State.RetriesExhausted = Call.RetriesExhausted;
  State.MaxRuns = Call.MaxRuns;
  State.LimitedBySidecars = Call.WorkloadAware && Call.Request.Nested;
}

CallResponse EntryCall::run() {
  if (const auto Refusal = initialRefusal()) {
    Result = callErrorResponse(
        *Refusal, Shed ? "nested calls of the route find no capacity"
                       : "refused by the entry node");
    applyResult(now());
    logEnd(now());
    return std::move(*Result);
  }
  awaitBackends();
  if (!Result) {
    if (const auto Ended = startAttempt()) {
      resolve(*Ended, nullptr);
    }
  }
  while (!Result) {
    wait();
    step(now());
  }
  const policy::TimePoint End = now();
  cancelInFlight(End);
  applyResult(End);
  logEnd(End);
  logHedge();
  recordStartWait();
  const bool Accepted =
      !Result->Kind || !policy::isCapacityRejection(*Result->Kind);
  const std::lock_guard Lock(Call.Runtime->Mutex);
  policy::record(Call.Runtime->Overload, Accepted, End);
  return std::move(*Result);
}

std::optional<EntryCall::Attempt>
EntryCall::chooseTarget(policy::Error &ChooseError) {
  ServiceRuntime &Runtime = *Call.Runtime;
  policy::RouteQuery Query = routeQueryOf(Call);
  Query.Excluded = Tried;
  const std::lock_guard Lock(Runtime.Mutex);
  auto Shares = versionShares(Runtime, Owner.Use.Overrides);
  if (!Tried.empty()) {
    Shares = policy::sharesForRetry(Shares);
  }
  Query.Versions = Shares;
  const policy::TimePoint Now = now();
  // The load of the local sidecar is available without a network round trip.
  policy::onReport(Runtime.Route, Owner.Options.Node, Owner.Use.Own.load(),
                   Now);
  const auto Node =
      policy::choose(Runtime.Route, Query, Now, threadEngine(), ChooseError);
  if (!Node) {
    return std::nullopt;
  }
  Attempt Current = makeAttempt(*Node, Now);
  Current.HasChoice = State.Attempts < ChoiceAttempts &&
                      policy::hasChoice(Runtime.Route, Query, *Node);
  setHedgeTime(Current, Now);
  return Current;
}

EntryCall::Attempt EntryCall::makeAttempt(policy::NodeId Node,
                                          policy::TimePoint Now) {
  ServiceRuntime &Runtime = *Call.Runtime;
  const BackendEndpoint &Target = Runtime.Endpoints.at(Node);
  Attempt Current;
  Current.Sent = policy::onDispatch(Runtime.Route, Node, Now);
  Current.Peer = {
      .Node = Node, .Address = Target.Address, .Port = Target.PeerPort};
  Current.Version = Target.Version;
  Current.Distance = Target.ZoneDistance;
  return Current;
}

std::optional<policy::Outcome> EntryCall::startAttempt() {
  policy::Error ChooseError{ErrorKind::Shutdown,
                            "the node stops before the deadline"};
  const auto Withdrawn = keyRefusal();
  if (Withdrawn) {
    ChooseError = {*Withdrawn, "the key was withdrawn"};
  }
  std::optional<Attempt> Current = !Withdrawn && limitToStop(now())
                                       ? chooseTarget(ChooseError)
                                       : std::nullopt;
  if (!Current) {
    if (InFlight.empty()) {
      Result = LastError && !Withdrawn
                   ? std::move(*LastError)
                   : callErrorResponse(ChooseError.Kind, ChooseError.Detail);
      if (Result->Kind) {
        Result->Kind = policy::kindForCaller(State, *Result->Kind);
      }
    }
    return std::nullopt;
  }
  return launch(std::move(*Current));
}

std::optional<policy::Outcome> EntryCall::launch(Attempt Current) {
  Tried.push_back(Current.Peer.Node);
  policy::onAttempt(State);
  if (const auto Ended = dispatch(Current)) {
    policy::onAttemptEnd(State);
    return Ended;
  }
  InFlight.push_back(std::move(Current));
  return std::nullopt;
}

std::optional<policy::Outcome> EntryCall::dispatch(Attempt &Current) {
  Call.Request.Version = Current.Version;
  Call.Request.Repeat = State.Runs > 0 || Current.IsHedge;
  Call.Request.HasChoice = Current.HasChoice;
  if (Current.Peer.Node == Owner.Options.Node) {
    Owner.Use.Counts.count(Counter::LocalAttempts);
    Call.Request.SidecarRun = Owner.Options.Run;
    Current.Local = std::make_unique<SidecarCall>(Owner.Use.Own, Call.Request);
    Current.Local->start(now());
    return std::nullopt;
  }
  Owner.Use.Counts.count(Counter::Attempts);
  const policy::TimePoint Latest = Call.WorkloadAware
                                       ? policy::connectDeadline(State, now())
                                       : State.Deadline;
  PeerPool::PooledConnection Pooled =
      Owner.Use.Peers.take(Current.Peer, Latest);
  if (!Pooled.Connection) {
    Owner.Use.Counts.count(Counter::PeerConnectFailures);
    recordConnectFailure(Current, now());
    return handleSendFailure(Current,
                             "the sidecar does not accept connections");
  }
  Current.SentTo = Pooled.Connection->RemoteNode.Run;
  Call.Request.SidecarRun = Current.SentTo;
  Current.Remote = std::make_unique<PeerExchange>(std::move(Pooled.Connection),
                                                  Owner.Options.Exchange);
  if (!Current.Remote->start(Call.Request, now(),
                             Pooled.Idle && *Pooled.Idle > CheckAfterIdle)) {
    return handleSendFailure(Current, "the connection to the sidecar failed");
  }
  return std::nullopt;
}

void EntryCall::recordConnectFailure(const Attempt &Current,
                                     policy::TimePoint Now) {
  // A deadline that ends the attempt early says nothing about the sidecar.
  if (Now < State.Deadline) {
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::onConnectFailure(Call.Runtime->Route, Current.Sent, Now);
  }
}

policy::Outcome EntryCall::handleSendFailure(const Attempt &Current,
                                             std::string Reason) {
  logAttempt(Current, ErrorKind::BackendConnectFailed, Reason);
  {
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::onFailure(Call.Runtime->Route, Current.Sent,
                      ErrorKind::BackendConnectFailed, now());
  }
  LastError =
      callErrorResponse(ErrorKind::BackendConnectFailed, std::move(Reason));
  return {.Event = OutcomeEvent::Rejected,
          .Kind = ErrorKind::BackendConnectFailed};
}

void EntryCall::wait() {
  std::vector<pollfd> Fds;
  policy::TimePoint Until = State.Deadline + DeadlineGrace;
  for (const Attempt &Next : InFlight) {
    if (Next.Local && Next.Local->done()) {
      return;
    }
    if (Next.Remote) {
      Fds.push_back({.fd = Next.Remote->fd(), .events = POLLIN, .revents = 0});
    } else {
      Fds.push_back({.fd = Next.Local->fd(),
                     .events = Next.Local->events(),
                     .revents = 0});
    }
    Until = std::min(Until, Next.Remote ? Next.Remote->nextCheck()
                                        : Next.Local->nextCheck());
  }
  CallerWatch *Caller = Call.Caller;
  Fds.push_back(Caller ? Caller->entry() : pollfd{.fd = -1});
  if (HedgeAt) {
    Until = std::min(Until, *HedgeAt);
  }
  thread_local AdaptiveSpin Spinner;
  const policy::TimePoint Start = now();
  (void)waitReady(Fds, Until, Spinner.spin(Owner.Options.Spin),
                  Caller ? Caller->signal() : nullptr);
  const policy::TimePoint End = now();
  Spinner.record(End - Start);
  if (Caller) {
    Caller->afterWait(Fds.back().revents, End);
    CallerGone = Caller->isGone();
  }
}

void EntryCall::step(policy::TimePoint Now) {
  // Attempts added during this loop are advanced in the next step.
  const std::size_t Count = InFlight.size();
  auto It = InFlight.begin();
  for (std::size_t I = 0; I < Count && !Result; ++I) {
    advance(It++, Now);
  }
  if (!Result && CallerGone) {
    Result = callErrorResponse(ErrorKind::Cancelled,
                               "the caller closed the connection");
  }
  if (!Result && Now >= State.Deadline + DeadlineGrace) {
    handleDeadline(Now);
  }
  if (!Result && HedgeAt && Now >= *HedgeAt) {
    HedgeAt = policy::TimePoint::max();
    handleSlow(Now);
  }
}

void EntryCall::advance(std::list<Attempt>::iterator It,
                        policy::TimePoint Now) {
  if (It->Local) {
    It->Local->advance(Now);
    if (It->Local->done()) {
      handleResponse(It, std::move(It->Local->response()), Now);
    }
    return;
  }
  switch (It->Remote->advance(Now)) {
  case ExchangeStatus::Pending:
    return;
  case ExchangeStatus::Done:
    Owner.Use.Peers.give(It->Peer, It->Remote->release(), false);
    handleResponse(It, std::move(It->Remote->response()), Now);
    return;
  case ExchangeStatus::Unresponsive:
    // New requests use new connections. An idempotent request may be hedged to
    // another sidecar while this one can still respond.
    Owner.Use.Peers.discard(It->Peer.Node);
    handleSlow(Now);
    return;
  case ExchangeStatus::Lost:
    Owner.Use.Counts.count(Counter::SilentConnections);
    Owner.Use.Peers.discard(It->Peer.Node);
    handleLoss(It, Now);
    return;
  }
}

void EntryCall::handleResponse(std::list<Attempt>::iterator It,
                               CallResponse Response, policy::TimePoint Now) {
  reportCounts(It->Peer.Node,
               {.Runs = Response.RouteRuns, .Losses = Response.RouteLosses},
               Now);
  if (Response.Kind) {
    handleFailure(It, std::move(Response), Now);
    return;
  }
  const bool Faulty = Response.Status >= FirstServerError;
  {
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::onResponse(Call.Runtime->Route, It->Sent,
                       {.Load = Response.Load, .Faulty = Faulty}, Now);
  }
  record(*It, Faulty, Now);
  if (!Faulty) {
    recordHedgeSample(*It, Now);
  }
  policy::onAttemptEnd(State);
  const Attempt Ended = std::move(*It);
  InFlight.erase(It);
  acceptResponse(Ended, std::move(Response), Faulty);
}

void EntryCall::handleFailure(std::list<Attempt>::iterator It,
                              CallResponse Response, policy::TimePoint Now) {
  const ErrorKind Kind = *Response.Kind;
  logAttempt(*It, Kind, Response.Detail);
  const bool Reached = Response.Reached;
  const bool NotRun = policy::errorEntry(Kind).Run == policy::RunOutcome::No;
  {
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::RouteState &Route = Call.Runtime->Route;
    if (NotRun) {
      policy::onRejection(Route, It->Sent, Kind, Response.Load, Now);
    } else if (Kind == ErrorKind::AnswerTooLarge) {
      policy::onResponse(Route, It->Sent,
                         {.Load = Response.Load, .Faulty = false}, Now);
    } else {
      policy::onFailure(Route, It->Sent, Kind, Now);
    }
  }
  if (!NotRun) {
    record(*It, true, Now);
  }
  policy::onAttemptEnd(State);
  InFlight.erase(It);
  LastError = std::move(Response);
  // After a run that broke off, only an idempotent request may be retried. No
  // fence is needed because the sidecar itself reported the outcome.
  const bool Repeatable = Kind == ErrorKind::BackendBrokenAnswer ||
                          Kind == ErrorKind::OutcomeUnknown;
  resolve({.Event = Repeatable && State.Idempotent ? OutcomeEvent::Lost
                                                   : OutcomeEvent::Rejected,
           .Kind = Kind,
           .Reached = Reached},
          nullptr);
}

void EntryCall::handleLoss(std::list<Attempt>::iterator It,
                           policy::TimePoint Now) {
  {
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::onFailure(Call.Runtime->Route, It->Sent, ErrorKind::OutcomeUnknown,
                      Now);
  }
  record(*It, true, Now);
  if (State.Idempotent) {
    policy::onAttemptEnd(State);
  }
  const Attempt Ended = std::move(*It);
  InFlight.erase(It);
  logAttempt(Ended, ErrorKind::OutcomeUnknown, "no response from the sidecar");
  LastError = callErrorResponse(ErrorKind::OutcomeUnknown,
                                "the sidecar did not respond to the request");
  resolve({.Event = OutcomeEvent::Lost, .Kind = ErrorKind::OutcomeUnknown},
          &Ended);
}

void EntryCall::handleDeadline(policy::TimePoint Now) {
  while (!Result && !InFlight.empty()) {
    handleLoss(InFlight.begin(), Now);
  }
}

void EntryCall::cancelInFlight(policy::TimePoint Now) {
  for (Attempt &Next : InFlight) {
    Owner.Use.Counts.count(Counter::Cancels);
    if (Next.IsHedge) {
      endHedge("cancelled");
    } else if (Hedged) {
      recordHedgeSample(Next, Now);
    }
    if (Next.Remote) {
      Next.Remote->cancel(Now);
      Owner.Use.Peers.give(Next.Peer, Next.Remote->release(), true);
    } else {
      Next.Local->cancel(ErrorKind::Cancelled, Now);
    }
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::onFailure(Call.Runtime->Route, Next.Sent, ErrorKind::Cancelled,
                      Now);
  }
  InFlight.clear();
}

void EntryCall::record(const Attempt &Ended, bool Failed,
                       policy::TimePoint Now) {
  Owner.Use.Responses.record({.Service = Call.Request.Service,
                              .Route = Call.Route,
                              .Version = Ended.Version,
                              .Failed = Failed,
                              .Latency = Now - Ended.Sent.Start});
}

} // namespace magnolia::daemon
