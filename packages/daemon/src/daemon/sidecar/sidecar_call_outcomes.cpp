#include "daemon/sidecar/sidecar_call.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "daemon/sidecar/backend_headers.h"
#include "policy/admission/admit.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

// The end of a request that was sent: the response of the backend server, or
// its absence.

namespace magnolia::daemon {

using policy::ErrorKind;

namespace {

// Status of a refusal whose kind the backend server names in a header.
constexpr std::uint16_t RefusalStatus = 503;
constexpr std::uint16_t MisdirectedStatus = 421;

// Statuses by which callers learn that a request did not run. A 421 is always a
// refusal.
constexpr std::array<std::uint16_t, 3> PromiseStatuses = {408, 429, 503};

// Responses to other requests that are skipped before the one to this request.
constexpr int MaxExtraResponses = 16;

} // namespace

bool SidecarCall::takeResponses(policy::TimePoint Now) {
  for (;;) {
    switch (Connection->Reader.read()) {
    case HttpReadStatus::NeedMore:
      return false;
    case HttpReadStatus::Ready:
      if (handleResponse(Now)) {
        return true;
      }
      continue;
    case HttpReadStatus::BodyTooLarge:
      handleOversizedResponse(
          Now, "the answer body is over " +
                   std::to_string(Owner.options().ResponseLimits.BodyBytes) +
                   " bytes");
      return true;
    case HttpReadStatus::NoMemory:
      handleOversizedResponse(Now,
                              "the sidecar has no memory for the answer body");
      return true;
    case HttpReadStatus::HeadTooLarge:
    case HttpReadStatus::Malformed:
      handleBrokenResponse(
          Now, "the backend server's response is malformed or has no "
               "stated length");
      return true;
    }
  }
}

SidecarCall::Origin SidecarCall::originOf(const HttpResponse &Response) const {
  const Dialect &Speaks = Owner.dialect();
  bool IsThis = false;
  bool IsOther = false;
  for (const HttpHeader &Header : Response.Headers) {
    if (!Header.Value.empty() &&
        equalNames(Header.Name, Speaks.Headers.RequestId)) {
      (Header.Value == SentId ? IsThis : IsOther) = true;
    }
  }
  if (IsOther) {
    return IsThis ? Origin::Unknown : Origin::OtherRequest;
  }
  const bool NeedsId = Speaks.EchoesRequestId && Connection->Reused;
  return IsThis || !NeedsId ? Origin::ThisRequest : Origin::Unknown;
}

bool SidecarCall::handleResponse(policy::TimePoint Now) {
  HttpResponse Response = Connection->Reader.takeResponse();
  const Origin From = originOf(Response);
  if (From == Origin::OtherRequest && Response.KeepAlive) {
    // This is a second response to an earlier request; the one to this request
    // may follow.
    Owner.metrics().count(Counter::BackendExtraAnswers);
    if (++ExtraResponses > MaxExtraResponses) {
      handleBrokenResponse(
          Now, "the backend server only responds to other requests");
      return true;
    }
    Connection->Reader.begin(Request.Method);
    return false;
  }
  if (From != Origin::ThisRequest) {
    handleBrokenResponse(
        Now, From == Origin::OtherRequest
                 ? "the backend server responded to another request"
                 : "the response does not name the request that it belongs to");
    return true;
  }
  const bool SentWhole =
      Sending == SendStatus::Open && HeadLeft.empty() && BodyLeft.empty();
  const bool Reusable =
      Response.KeepAlive && !Connection->Reader.hasBytes() && SentWhole;
  if (Reusable) {
    Owner.pool().give(std::move(Connection), Now);
  }
  Connection.reset();
  const Dialect &Speaks = Owner.dialect();
  if (Speaks.ReadWorkTime) {
    if (const auto Percent = Speaks.ReadWorkTime(Response)) {
      Owner.onWorkTime(*Percent, Now);
    }
  }
  Owner.onBackendIncarnation(incarnationOf(Speaks, Response.Headers), Now);
  if (const auto Refusal = refusalIn(Response)) {
    Owner.metrics().count(Counter::BackendSheds);
    uncountRun();
    Owner.finishRun(Request, false);
    Owner.complete({.Latency = Now - Sent, .Failed = true}, Now);
    finish(callErrorResponse(*Refusal, "refused by the backend server"));
    return true;
  }
  Owner.finishRun(Request, true);
  constexpr std::uint16_t FirstServerError = 500;
  Owner.complete(
      {.Latency = Now - Sent, .Failed = Response.Status >= FirstServerError},
      Now);
  Owner.metrics().time(Timing::Backend, Now - Sent);
  if (promisesFalsely(Response)) {
    finish(callErrorResponse(ErrorKind::OutcomeUnknown,
                             "the backend server responded with status " +
                                 std::to_string(Response.Status) +
                                 " and does not state that it did not run the "
                                 "request"));
    return true;
  }
  CallResponse Ended;
  Ended.Status = Response.Status;
  const std::string *Length = findHeader(Response.Headers, "Content-Length");
  const bool KeepLength = Length && !hasBody(Response.Status, Request.Method);
  const std::string Kept = KeepLength ? *Length : std::string();
  removeHopByHop(Response.Headers);
  std::erase_if(Response.Headers, [&Speaks](const HttpHeader &Header) {
    return isReservedHeader(Speaks, Header);
  });
  if (KeepLength) {
    Response.Headers.push_back({"Content-Length", Kept});
  }
  Ended.Headers = std::move(Response.Headers);
  Ended.Body = std::move(Response.Body);
  Ended.Share = std::move(Response.Share);
  finish(std::move(Ended));
  return true;
}

bool SidecarCall::promisesFalsely(const HttpResponse &Response) const {
  return Owner.dialect().PromisesByStatus && !Request.Idempotent &&
         std::find(PromiseStatuses.begin(), PromiseStatuses.end(),
                   Response.Status) != PromiseStatuses.end();
}

std::optional<ErrorKind>
SidecarCall::refusalIn(const HttpResponse &Response) const {
  const HeaderNames &Names = Owner.dialect().Headers;
  if (!Names.ExpectedInstance.empty() && Response.Status == MisdirectedStatus) {
    Owner.onOtherInstance();
    return ErrorKind::StaleIncarnation;
  }
  if (Names.Draining.empty()) {
    return findOptionalHeader(Response.Headers, Names.NotRun)
               ? std::optional(ErrorKind::Overloaded)
               : std::nullopt;
  }
  if (Response.Status != RefusalStatus) {
    return std::nullopt;
  }
  if (findOptionalHeader(Response.Headers, Names.Draining)) {
    Owner.onBackendDraining();
    return ErrorKind::Draining;
  }
  return findOptionalHeader(Response.Headers, Names.NotRun)
             ? std::optional(ErrorKind::Overloaded)
             : std::nullopt;
}

// The backend server may close an idle connection just as a request is sent. An
// idempotent request is then sent again on a new connection, as a repeat that
// needs admission like any other.
void SidecarCall::handleBrokenResponse(policy::TimePoint Now,
                                       std::string Reason) {
  const bool Repeat =
      Connection->Reused && !ReceivedBytes && Request.Idempotent;
  Connection.reset();
  if (Repeat) {
    uncountRun();
    Owner.complete({.NotSent = true}, Now);
    Request.Repeat = true;
    askAdmission(Now);
    return;
  }
  Owner.metrics().count(Counter::BackendBrokenAnswers);
  Owner.onConnectFailure(Now);
  Owner.finishRun(Request, true);
  Owner.complete({.Latency = Now - Sent, .Failed = true}, Now);
  finish(callErrorResponse(ErrorKind::BackendBrokenAnswer, std::move(Reason)));
}

void SidecarCall::handleOversizedResponse(policy::TimePoint Now,
                                          std::string Reason) {
  Connection.reset();
  Owner.finishRun(Request, true);
  Owner.complete({.Latency = Now - Sent}, Now);
  finish(callErrorResponse(ErrorKind::AnswerTooLarge, std::move(Reason)));
}

} // namespace magnolia::daemon
