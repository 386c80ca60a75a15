#include "daemon/entry/entry_call.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "daemon/net/spin_gate.h"
#include "policy/overload/admit_service.h"
#include "policy/probe/next_probe.h"
#include "policy/retry/plan_next.h"
#include "policy/route/choose.h"

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

using policy::ErrorKind;
using policy::OutcomeEvent;

namespace {

// Time after the deadline for which the entry node waits for the sidecar's own
// statement on whether the request ran.
constexpr policy::Duration DeadlineGrace = std::chrono::milliseconds(25);

// A connection that was idle for longer is checked with the request itself.
constexpr policy::Duration CheckAfterIdle = std::chrono::seconds(1);

// Attempts that a slow backend server may reject in favour of another one.
constexpr std::uint32_t ChoiceAttempts = 3;

constexpr std::uint16_t FirstServerError = 500;

} // namespace

EntryCall::EntryCall(Entry &Owner, Given Given)
    : Owner(Owner), Call(std::move(Given)) {
  State.Idempotent = Call.Request.Idempotent;
  State.Hops = Call.Request.Hops;
  State.Deadline = Call.Request.Deadline;
  State.RetriesExhausted = Call.RetriesExhausted;
  State.MaxRuns = Call.MaxRuns;
}

CallAnswer EntryCall::run() {
  if (const auto Refusal = refusalAtOnce()) {
    Result = errorAnswer(*Refusal, "refused by the entry node");
    logEnd(now());
    return std::move(*Result);
  }
  if (const auto Ended = startAttempt()) {
    resolve(*Ended, nullptr);
  }
  while (!Result) {
    wait();
    step(now());
  }
  const policy::TimePoint End = now();
  cancelOpen(End);
  logEnd(End);
  const bool Accepted =
      !Result->Kind || !policy::isCapacityRejection(*Result->Kind);
  const std::lock_guard Lock(Call.Runtime->Mutex);
  policy::record(Call.Runtime->Overload, Accepted, End);
  return std::move(*Result);
}

std::optional<ErrorKind> EntryCall::refusalAtOnce() {
  const policy::TimePoint Now = now();
  if (State.Hops > Owner.Options.Hops) {
    return ErrorKind::TooManyHops;
  }
  if (const auto Refusal = policy::checkFirst(State, Now)) {
    return Refusal;
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

std::optional<EntryCall::Attempt>
EntryCall::chooseTarget(policy::Error &ChooseError) {
  ServiceRuntime &Runtime = *Call.Runtime;
  policy::RouteQuery Query{.Idempotent = State.Idempotent,
                           .Excluded = Tried,
                           .Versions = {},
                           .Key = {}};
  if (!State.Idempotent && !Call.Request.IdempotencyKey.empty()) {
    Query.Key = policy::hashOf(Call.Request.IdempotencyKey);
  }
  const std::lock_guard Lock(Runtime.Mutex);
  auto Shares = versionShares(Runtime, Owner.Use.Cuts);
  if (!Tried.empty()) {
    Shares = policy::sharesForRetry(Shares);
  }
  Query.Versions = Shares;
  const policy::TimePoint Now = now();
  // What the own sidecar knows costs nothing to ask.
  policy::onReport(Runtime.Route, Owner.Options.Node, Owner.Use.Own.load(),
                   Now);
  const auto Node =
      policy::choose(Runtime.Route, Query, Now, threadEngine(), ChooseError);
  if (!Node) {
    return std::nullopt;
  }
  const BackendEndpoint &Target = Runtime.Endpoints.at(*Node);
  Attempt Made;
  Made.Sent = policy::onDispatch(Runtime.Route, *Node, Now);
  Made.HasChoice = State.Attempts < ChoiceAttempts &&
                   policy::hasChoice(Runtime.Route, Query, *Node);
  Made.Peer = {
      .Node = *Node, .Address = Target.Address, .Port = Target.PeerPort};
  Made.Version = Target.Version;
  if (!HedgeAt && Call.MayHedge && State.Idempotent &&
      Runtime.Route.Median.count() > 0) {
    // The median is without the way to the zone of the candidate.
    HedgeAt =
        Now + Target.ZoneDistance + policy::hedgeDelay(Runtime.Route.Median);
  }
  return Made;
}

std::optional<policy::Outcome> EntryCall::startAttempt() {
  policy::Error ChooseError;
  std::optional<Attempt> Made = chooseTarget(ChooseError);
  if (!Made) {
    if (Open.empty()) {
      Result = LastError ? std::move(*LastError)
                         : errorAnswer(ChooseError.Kind, ChooseError.Detail);
    }
    return std::nullopt;
  }
  Tried.push_back(Made->Peer.Node);
  policy::onAttempt(State);
  if (const auto Ended = dispatch(*Made)) {
    policy::onAttemptEnd(State);
    return Ended;
  }
  Open.push_back(std::move(*Made));
  return std::nullopt;
}

std::optional<policy::Outcome> EntryCall::dispatch(Attempt &Made) {
  Call.Request.Version = Made.Version;
  Call.Request.Repeat = State.Runs > 0;
  Call.Request.HasChoice = Made.HasChoice;
  if (Made.Peer.Node == Owner.Options.Node) {
    Owner.Use.Counts.count(Counter::LocalAttempts);
    Call.Request.SidecarRun = Owner.Options.Run;
    Made.Local = std::make_unique<SidecarCall>(Owner.Use.Own, Call.Request);
    Made.Local->start(now());
    return std::nullopt;
  }
  Owner.Use.Counts.count(Counter::Attempts);
  PeerPool::Taken Taken = Owner.Use.Peers.take(Made.Peer, State.Deadline);
  if (!Taken.Connection) {
    Owner.Use.Counts.count(Counter::PeerConnectFailures);
    return notSent(Made, "the sidecar does not accept connections");
  }
  Made.SentTo = Taken.Connection->Other.Run;
  Call.Request.SidecarRun = Made.SentTo;
  Made.Remote = std::make_unique<PeerExchange>(std::move(Taken.Connection),
                                               Owner.Options.Exchange);
  if (!Made.Remote->start(Call.Request, now(),
                          Taken.Idle && *Taken.Idle > CheckAfterIdle)) {
    return notSent(Made, "the connection to the sidecar broke");
  }
  return std::nullopt;
}

policy::Outcome EntryCall::notSent(const Attempt &Made, std::string Reason) {
  logAttempt(Made, ErrorKind::BackendConnectFailed, Reason);
  {
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::onFailure(Call.Runtime->Route, Made.Sent,
                      ErrorKind::BackendConnectFailed, now());
  }
  LastError = errorAnswer(ErrorKind::BackendConnectFailed, std::move(Reason));
  return {.Event = OutcomeEvent::Rejected,
          .Kind = ErrorKind::BackendConnectFailed};
}

void EntryCall::wait() {
  std::vector<pollfd> Fds;
  policy::TimePoint Until = State.Deadline + DeadlineGrace;
  for (const Attempt &Next : Open) {
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
  Fds.push_back({.fd = Call.CallerFd, .events = POLLRDHUP, .revents = 0});
  if (HedgeAt) {
    Until = std::min(Until, *HedgeAt);
  }
  thread_local SpinGate Gate;
  const policy::TimePoint Start = now();
  (void)waitReady(Fds, Until, Gate.spin(Owner.Options.Spin));
  Gate.record(now() - Start);
  CallerGone = Fds.back().revents != 0;
}

void EntryCall::step(policy::TimePoint Now) {
  // Attempts that are added meanwhile are advanced in the next step.
  const std::size_t Count = Open.size();
  auto Place = Open.begin();
  for (std::size_t I = 0; I < Count && !Result; ++I) {
    advance(Place++, Now);
  }
  if (!Result && CallerGone) {
    Result = errorAnswer(ErrorKind::Cancelled, "the caller went away");
  }
  if (!Result && Now >= State.Deadline + DeadlineGrace) {
    deadlinePassed(Now);
  }
  if (!Result && HedgeAt && Now >= *HedgeAt) {
    HedgeAt = policy::TimePoint::max();
    resolve({.Event = OutcomeEvent::Slow}, nullptr);
  }
}

void EntryCall::advance(std::list<Attempt>::iterator Place,
                        policy::TimePoint Now) {
  if (Place->Local) {
    Place->Local->advance(Now);
    if (Place->Local->done()) {
      answered(Place, std::move(Place->Local->answer()), Now);
    }
    return;
  }
  switch (Place->Remote->advance(Now)) {
  case ExchangeStatus::Pending:
    return;
  case ExchangeStatus::Done:
    Owner.Use.Peers.give(Place->Peer, Place->Remote->release(), false);
    answered(Place, std::move(Place->Remote->answer()), Now);
    return;
  case ExchangeStatus::Silent:
    // New requests take new connections; an idempotent one may go elsewhere
    // while this sidecar can still answer.
    Owner.Use.Peers.discard(Place->Peer.Node);
    resolve({.Event = OutcomeEvent::Slow}, nullptr);
    return;
  case ExchangeStatus::Lost:
    Owner.Use.Counts.count(Counter::SilentConnections);
    Owner.Use.Peers.discard(Place->Peer.Node);
    lost(Place, Now);
    return;
  }
}

void EntryCall::answered(std::list<Attempt>::iterator Place, CallAnswer Answer,
                         policy::TimePoint Now) {
  if (Answer.Kind) {
    failed(Place, std::move(Answer), Now);
    return;
  }
  const bool Faulty = Answer.Status >= FirstServerError;
  {
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::onAnswer(Call.Runtime->Route, Place->Sent,
                     {.Load = Answer.Load, .Faulty = Faulty}, Now);
  }
  record(*Place, Faulty, Now);
  policy::onAttemptEnd(State);
  Open.erase(Place);
  Owner.Use.Counts.count(Counter::Answers);
  Result = std::move(Answer);
}

void EntryCall::failed(std::list<Attempt>::iterator Place, CallAnswer Answer,
                       policy::TimePoint Now) {
  const ErrorKind Kind = *Answer.Kind;
  logAttempt(*Place, Kind, Answer.Detail);
  const bool Reached = Answer.Reached;
  const bool NotRun = policy::errorEntry(Kind).Run == policy::RunOutcome::No;
  {
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::RouteState &Route = Call.Runtime->Route;
    if (NotRun) {
      policy::onRejection(Route, Place->Sent, Kind, Answer.Load, Now);
    } else if (Kind == ErrorKind::AnswerTooLarge) {
      policy::onAnswer(Route, Place->Sent,
                       {.Load = Answer.Load, .Faulty = false}, Now);
    } else {
      policy::onFailure(Route, Place->Sent, Kind, Now);
    }
  }
  if (!NotRun) {
    record(*Place, true, Now);
  }
  policy::onAttemptEnd(State);
  Open.erase(Place);
  LastError = std::move(Answer);
  // A run that broke off may be repeated only where the request is idempotent;
  // the sidecar's statement needs no fence.
  const bool Repeatable = Kind == ErrorKind::BackendBrokenAnswer ||
                          Kind == ErrorKind::OutcomeUnknown;
  resolve({.Event = Repeatable && State.Idempotent ? OutcomeEvent::Lost
                                                   : OutcomeEvent::Rejected,
           .Kind = Kind,
           .Reached = Reached},
          nullptr);
}

void EntryCall::lost(std::list<Attempt>::iterator Place,
                     policy::TimePoint Now) {
  {
    const std::lock_guard Lock(Call.Runtime->Mutex);
    policy::onFailure(Call.Runtime->Route, Place->Sent,
                      ErrorKind::OutcomeUnknown, Now);
  }
  record(*Place, true, Now);
  if (State.Idempotent) {
    policy::onAttemptEnd(State);
  }
  const Attempt Ended = std::move(*Place);
  Open.erase(Place);
  logAttempt(Ended, ErrorKind::OutcomeUnknown, "no answer from the sidecar");
  LastError = errorAnswer(ErrorKind::OutcomeUnknown,
                          "the sidecar gave no answer to the request");
  resolve({.Event = OutcomeEvent::Lost, .Kind = ErrorKind::OutcomeUnknown},
          &Ended);
}

void EntryCall::deadlinePassed(policy::TimePoint Now) {
  while (!Result && !Open.empty()) {
    lost(Open.begin(), Now);
  }
}

void EntryCall::cancelOpen(policy::TimePoint Now) {
  for (Attempt &Next : Open) {
    Owner.Use.Counts.count(Counter::Cancels);
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
  Open.clear();
}

void EntryCall::record(const Attempt &Ended, bool Failed,
                       policy::TimePoint Now) {
  Owner.Use.Evidence.record({.Service = Call.Request.Service,
                             .Route = Call.Route,
                             .Version = Ended.Version,
                             .Failed = Failed,
                             .Latency = Now - Ended.Sent.Start});
}

} // namespace magnolia::daemon
