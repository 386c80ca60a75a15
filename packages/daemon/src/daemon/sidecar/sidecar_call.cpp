#include "daemon/sidecar/sidecar_call.h"

#include "daemon/sidecar/backend_headers.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "daemon/usage/run_counter.h"
#include "policy/admission/admit.h"
#include "policy/chain/chain_headers.h"
#include "policy/chain/route_counts.h"

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

using policy::ErrorKind;

namespace {

// Maximum time that a cancelled request holds its slot.
constexpr policy::Duration MaxSlotHoldTime = std::chrono::seconds(10);

// Maximum idle time of a connection that is reused for a non-idempotent
// request. A connection can be broken without notice, which leaves it unknown
// whether the request ran.
constexpr policy::Duration MaxNonIdempotentIdle =
    std::chrono::milliseconds(100);

// Returns whether a run failed, or nothing if the request has not run.
std::optional<bool> failedRun(const CallResponse &Ended) {
  constexpr std::uint16_t FirstServerError = 500;
  if (!Ended.Kind) {
    return Ended.Status >= FirstServerError;
  }
  if (policy::errorEntry(*Ended.Kind).Run == policy::RunOutcome::No) {
    return std::nullopt;
  }
  return *Ended.Kind != ErrorKind::AnswerTooLarge;
}

} // namespace

SidecarCall::SidecarCall(Sidecar &Owner, CallRequest NewRequest)
    : Owner(Owner), Request(std::move(NewRequest)) {}

SidecarCall::~SidecarCall() {
  if (Step != Stage::New && Step != Stage::Done) {
    cancel(ErrorKind::Cancelled, now());
  }
}

void SidecarCall::start(policy::TimePoint Now) {
  Arrived = Now;
  askAdmission(Now);
}

void SidecarCall::askAdmission(policy::TimePoint Now) {
  Sidecar::Admission Admission = Owner.admit(Request, Now);
  if (const auto *Refusal = std::get_if<policy::Error>(&Admission)) {
    logRefusal(Refusal->Kind);
    finishUnsent(Refusal->Kind, Refusal->Detail);
  } else if (auto *Queued =
                 std::get_if<std::shared_ptr<SlotWait>>(&Admission)) {
    Wait = std::move(*Queued);
    if (!Request.Organisation.empty() && !Request.Nested) {
      Waiting = Owner.organisation(Request.Organisation);
    }
    Step = Stage::Waiting;
  } else {
    run(Now);
  }
}

int SidecarCall::fd() const {
  switch (Step) {
  case Stage::Waiting:
    return Wait->Wake.fd();
  case Stage::Running:
    return Connection->Socket.fd();
  case Stage::New:
  case Stage::Done:
    break;
  }
  return -1;
}

short SidecarCall::events() const {
  const bool Unsent = !HeadLeft.empty() || !BodyLeft.empty();
  return Step == Stage::Running && Unsent ? POLLIN | POLLOUT : POLLIN;
}

policy::TimePoint SidecarCall::nextCheck() const {
  return Step == Stage::Waiting ? std::min(Request.Deadline, Owner.nextExpiry())
                                : Request.Deadline;
}

void SidecarCall::advance(policy::TimePoint Now) {
  if (Step == Stage::Waiting) {
    ErrorKind Refusal = ErrorKind::Overloaded;
    switch (Owner.checkWait(*Wait, Now, Refusal)) {
    case Sidecar::WaitStatus::Waiting:
      return;
    case Sidecar::WaitStatus::Refused:
      finishUnsent(Refusal, "no slot became free in time");
      return;
    case Sidecar::WaitStatus::Granted:
      runAfterWait(Now);
      return;
    }
  }
  if (Step == Stage::Running) {
    sendMore();
    readResponse(Now);
    if (Step == Stage::Running && Now >= Request.Deadline) {
      cancel(ErrorKind::DeadlineExceededUnknown, Now);
    }
  }
}

void SidecarCall::cancel(ErrorKind Kind, policy::TimePoint Now) {
  if (Step == Stage::Waiting) {
    Owner.abandon(*Wait, Now);
    finish(callErrorResponse(Kind, "ended while waiting for a slot"));
    return;
  }
  if (Step == Stage::Running) {
    Owner.finishRun(Request, true);
    if (Owner.dialect().DropsOnClose) {
      Connection.reset();
      Owner.complete({.NotSent = true}, Now);
    } else {
      Owner.holdSlot(std::move(Connection), Now + MaxSlotHoldTime);
    }
    finish(
        callErrorResponse(Kind, "ended before the backend server responded"));
  }
}

// The sidecar does not know the key. The entry node does, and sends the request
// again if it is still valid.
void SidecarCall::runAfterWait(policy::TimePoint Now) {
  if (Waiting &&
      lostKey(*Waiting, Owner.organisation(Request.Organisation).get())) {
    refuseUnsent(ErrorKind::ConfigurationOutdated,
                 "a key of the organisation was withdrawn", Now);
    return;
  }
  run(Now);
}

void SidecarCall::run(policy::TimePoint Now) {
  if (!connect(Now)) {
    Owner.onConnectFailure(Now);
    refuseUnsent(ErrorKind::BackendConnectFailed,
                 "the backend server does not accept connections", Now);
    return;
  }
  if (const auto Refusal = Owner.beginRun(Request, Now)) {
    Owner.pool().give(std::move(Connection), Now);
    refuseUnsent(*Refusal, "refused by the run ledger", Now);
    return;
  }
  Step = Stage::Running;
  Sent = Now;
  countRun();
  send(Now);
}

void SidecarCall::countRun() {
  RunCounter *const Runs = Owner.options().Runs;
  if (Runs && !Request.Nested) {
    RunWindow = Runs->count(Request.Organisation);
  }
}

void SidecarCall::uncountRun() {
  RunCounter *const Runs = Owner.options().Runs;
  if (Runs && !Request.Nested) {
    Runs->uncount(Request.Organisation, RunWindow);
  }
}

bool SidecarCall::connect(policy::TimePoint Now) {
  bool ClosedEarly = false;
  const policy::Duration LongestIdle =
      Request.Idempotent || !Owner.dialect().DropsOnClose
          ? policy::Duration::max()
          : MaxNonIdempotentIdle;
  if (!needsNewConnection()) {
    Connection = Owner.pool().takeIdle(Now, LongestIdle, ClosedEarly);
  }
  if (ClosedEarly) {
    Owner.onConnectFailure(Now);
  }
  if (!Connection) {
    Connection = Owner.pool().open(
        std::min(Request.Deadline, Now + Owner.options().ConnectTimeout));
    if (Connection) {
      Owner.metrics().count(Counter::BackendConnections);
    }
  }
  return Connection != nullptr;
}

bool SidecarCall::needsNewConnection() const {
  if (wasSent()) {
    return true;
  }
  const Dialect &Speaks = Owner.dialect();
  if (Request.Idempotent || !Speaks.EchoesRequestId) {
    return false;
  }
  const std::string *Id = findHeader(Request.Headers, Speaks.Headers.RequestId);
  return Request.Repeat || !Id || Id->empty();
}

void SidecarCall::send(policy::TimePoint Now) {
  Connection->Reader.begin(Request.Method);
  Head = requestHead(backendRequest(Now), Request.Service, Request.Body.size());
  HeadLeft = Head;
  BodyLeft = Request.Body;
  Sending = SendStatus::Open;
  if (!Listed) {
    Listed = Owner.running().begin(
        SentId, {.Organisation = Request.Organisation,
                 .Priority = Request.Priority,
                 .Route = Request.Route,
                 .Repeat = Request.Repeat || Request.OfRepeat});
  }
  sendMore();
}

void SidecarCall::sendMore() {
  if (Sending != SendStatus::Open) {
    return;
  }
  Sending = sendSome(Connection->Socket.fd(), HeadLeft, BodyLeft);
  if (Sending != SendStatus::Open) {
    HeadLeft = BodyLeft = {};
  }
}

HttpRequest SidecarCall::backendRequest(policy::TimePoint Now) {
  const Dialect &Speaks = Owner.dialect();
  const HeaderNames &Names = Speaks.Headers;
  HttpRequest Outgoing;
  Outgoing.Method = Request.Method;
  Outgoing.Target = Request.Target;
  for (const HttpHeader &Header : Request.Headers) {
    if (!isSidecarHeader(Speaks, Header)) {
      Outgoing.Headers.push_back(Header);
    }
  }
  const auto Add = [&Outgoing](std::string_view Name, std::string Value) {
    if (!Name.empty() && !Value.empty()) {
      Outgoing.Headers.push_back({std::string(Name), std::move(Value)});
    }
  };
  const auto Left =
      std::chrono::ceil<std::chrono::milliseconds>(Request.Deadline - Now);
  if (Speaks.KeepsRequestId) {
    const std::string *Kept = findHeader(Outgoing.Headers, Names.RequestId);
    SentId = Kept ? *Kept : std::string();
  } else {
    SentId = policy::formatRequestId(Request.Id);
    Add(Names.RequestId, SentId);
  }
  Add(Names.Deadline, std::to_string(std::max<std::int64_t>(Left.count(), 0)));
  Add(Names.Hops, std::to_string(Request.Hops));
  if (!Names.ExpectedInstance.empty()) {
    Add(Names.ExpectedInstance, Owner.instance());
  }
  return Outgoing;
}

void SidecarCall::readResponse(policy::TimePoint Now) {
  for (int Reads = 0; Reads < BackendReadsPerTurn; ++Reads) {
    const auto Count =
        receiveSome(Connection->Socket.fd(), Connection->Reader.prepare());
    if (Count == 0) {
      return;
    }
    if (Count < 0) {
      const bool Closed =
          Count == ConnectionClosed && Sending != SendStatus::Broken;
      if (Closed && Connection->Reader.finish() == HttpReadStatus::Ready) {
        (void)handleResponse(Now);
      } else {
        handleBrokenResponse(Now, "the backend server closed the connection");
      }
      return;
    }
    ReceivedBytes = true;
    Connection->Reader.commit(static_cast<std::size_t>(Count));
    if (takeResponses(Now)) {
      return;
    }
  }
}

void SidecarCall::refuseUnsent(ErrorKind Kind, std::string Detail,
                               policy::TimePoint Now) {
  Owner.complete({.NotSent = true}, Now);
  finishUnsent(Kind, std::move(Detail));
}

void SidecarCall::finishUnsent(ErrorKind Kind, std::string Detail) {
  if (wasSent()) {
    Owner.metrics().count(Counter::BackendBrokenAnswers);
    Kind = ErrorKind::BackendBrokenAnswer;
    Detail = "the backend server closed the connection, and the request was "
             "not sent again: " +
             Detail;
  }
  finish(callErrorResponse(Kind, std::move(Detail)));
}

void SidecarCall::finish(CallResponse Ended) {
  Step = Stage::Done;
  const policy::TimePoint Now = now();
  if (Listed) {
    Owner.running().end(*Listed, failedRun(Ended), Now);
    Listed.reset();
  }
  Result = std::move(Ended);
  const policy::RouteCounts Runs = Owner.running().counts(Request.Route, Now);
  Result.RouteRuns = Runs.Runs;
  Result.RouteLosses = Runs.Losses;
  Result.Reached = Sent != policy::TimePoint{};
  Result.Load = Owner.load();
  if (Sent != policy::TimePoint{}) {
    Owner.metrics().time(Timing::SidecarOwn, Sent - Arrived);
  }
}

} // namespace magnolia::daemon
