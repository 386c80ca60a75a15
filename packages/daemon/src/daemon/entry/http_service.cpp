#include "daemon/entry/http_service.h"

#include "daemon/entry/entry_call.h"
#include "daemon/entry/local_endpoints.h"
#include "daemon/entry/parse_call.h"
#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace magnolia::daemon {

using policy::ErrorKind;

namespace {

// Limits on reading and discarding the rest of a rejected request. Without
// this, a connection reset could discard the response before it is read.
struct DrainLimits {
  std::size_t Bytes = std::size_t{4} << 20;
  policy::Duration Time = std::chrono::milliseconds(500);
};

// Time in which a caller may go on sending a body that was rejected for lack of
// memory.
constexpr policy::Duration RejectedBodyTime = std::chrono::seconds(5);

void drainInput(int Fd, const DrainLimits &Limits) {
  ::shutdown(Fd, SHUT_WR);
  std::array<char, 16'384> Buffer{};
  const policy::TimePoint Until = now() + Limits.Time;
  for (std::size_t Total = 0; Total < Limits.Bytes;) {
    const auto Count = receiveSome(Fd, Buffer);
    if (Count < 0 || (Count == 0 && !waitReadable(Fd, Until))) {
      return;
    }
    Total += static_cast<std::size_t>(Count);
  }
}

} // namespace

HttpServiceOptions applyCallerLimits(const HttpServiceOptions &NodeOptions,
                                     const settings::CallerLimits &Configured) {
  HttpServiceOptions Limited = NodeOptions;
  if (Configured.HeadBytes > 0) {
    Limited.Limits.HeadBytes = std::min<std::size_t>(
        NodeOptions.Limits.HeadBytes, Configured.HeadBytes);
  }
  if (Configured.BodyBytes > 0) {
    Limited.Limits.BodyBytes = std::min<std::size_t>(
        NodeOptions.Limits.BodyBytes, Configured.BodyBytes);
  }
  if (Configured.HeadTimeoutMs > 0) {
    Limited.Head = std::chrono::milliseconds(Configured.HeadTimeoutMs);
  }
  if (Configured.IdleTimeoutMs > 0) {
    Limited.Idle = std::chrono::milliseconds(Configured.IdleTimeoutMs);
  }
  return Limited;
}

HttpServiceOptions HttpService::currentOptions() const {
  return Configured ? applyCallerLimits(Options, Configured()) : Options;
}

void HttpService::serve(Session &Accepted) {
  HttpReader Reader(HttpReader::Kind::Request, Options.Limits, Options.Memory);
  // Start of the previous request if the next one arrived during it.
  std::optional<policy::TimePoint> WaitedSince;
  for (;;) {
    std::optional<HttpRequest> Request =
        readRequest(Reader, Accepted, WaitedSince);
    if (!Request) {
      return;
    }
    const policy::TimePoint Start = now();
    Request->Arrived = WaitedSince.value_or(Start);
    Reader.begin();
    const std::string Method = Request->Method;
    const bool KeepAlive = Request->KeepAlive;
    HttpResponse Response = Handle(std::move(*Request), Accepted.fd());
    Response.KeepAlive = KeepAlive && !Closing;
    const bool KeepOpen = Response.KeepAlive;
    const bool NextWaits = Reader.hasBytes() || hasInput(Accepted.fd());
    WaitedSince = NextWaits ? std::optional(Start) : std::nullopt;
    const bool Written = write(Accepted.fd(), Response, Method);
    Counts.time(Timing::Request, now() - Start);
    if (!Written || !KeepOpen) {
      return;
    }
  }
}

void HttpService::refuse(int Fd) {
  HttpResponse Response =
      errorResponse(Speaks, ErrorKind::Overloaded,
                    "too many connections to this node", false);
  Response.KeepAlive = false;
  (void)write(Fd, Response, {});
}

std::optional<HttpRequest>
HttpService::readRequest(HttpReader &Reader, Session &Accepted,
                         std::optional<policy::TimePoint> &WaitedSince) {
  bool ContinueSent = false;
  HttpServiceOptions Current = currentOptions();
  Reader.limit(Current.Limits);
  policy::TimePoint HeadStart = now();
  for (;;) {
    const HttpReadStatus Status = Reader.read();
    if (Status == HttpReadStatus::Ready) {
      return Reader.takeRequest();
    }
    if (Status != HttpReadStatus::NeedMore) {
      rejectUnread(Accepted.fd(), Status, Current.Limits);
      return std::nullopt;
    }
    if (Reader.expectsContinue() && !ContinueSent) {
      ContinueSent = true;
      if (!sendAll(Accepted.fd(), "HTTP/1.1 100 Continue\r\n\r\n", {},
                   now() + Options.Read)) {
        return std::nullopt;
      }
    }
    const auto Count = receiveSome(Accepted.fd(), Reader.prepare());
    if (Count > 0) {
      if (!Reader.hasBytes()) {
        Current = currentOptions();
        Reader.limit(Current.Limits);
        HeadStart = now();
      }
      Reader.commit(static_cast<std::size_t>(Count));
    } else if (Count < 0 || !awaitBytes(Reader, Accepted, Current, HeadStart)) {
      return std::nullopt;
    } else {
      // The last bytes of the request arrived during this wait.
      WaitedSince.reset();
    }
  }
}

bool HttpService::awaitBytes(const HttpReader &Reader, const Session &Accepted,
                             const HttpServiceOptions &Current,
                             policy::TimePoint HeadStart) {
  const policy::TimePoint Now = now();
  if (!Reader.hasBytes()) {
    return Accepted.waitForRequest(Now + Current.Idle);
  }
  policy::TimePoint Latest = Now + Current.Read;
  if (Current.Head > policy::Duration{0} && !Reader.hasHead()) {
    Latest = std::min(Latest, HeadStart + Current.Head);
  }
  return waitReadable(Accepted.fd(), Latest);
}

void HttpService::rejectUnread(int Fd, HttpReadStatus Status,
                               const HttpLimits &Limits) {
  if (Status != HttpReadStatus::NoMemory) {
    Counts.count(Counter::MalformedRequests);
  }
  HttpResponse Response;
  if (Status == HttpReadStatus::BodyTooLarge) {
    Response = errorResponse(Speaks, ErrorKind::BodyTooLarge,
                             "the body is over " +
                                 std::to_string(Limits.BodyBytes) + " bytes",
                             false);
    Counts.countError(ErrorKind::BodyTooLarge);
  } else if (Status == HttpReadStatus::NoMemory) {
    Response = errorResponse(Speaks, ErrorKind::Overloaded,
                             "the node has no memory for the body", false);
    Counts.countError(ErrorKind::Overloaded);
  } else {
    Response = errorResponse(
        Speaks, ErrorKind::BadRequest,
        Status == HttpReadStatus::HeadTooLarge
            ? "the headers are over " + std::to_string(Limits.HeadBytes) +
                  " bytes or " + std::to_string(HttpHeaderMaximumCount) +
                  " headers"
            : "the request is not valid HTTP/1.1",
        false);
    Counts.countError(ErrorKind::BadRequest);
  }
  Response.KeepAlive = false;
  if (write(Fd, Response, {})) {
    drainInput(Fd, Status == HttpReadStatus::NoMemory
                       ? DrainLimits{.Bytes = Limits.BodyBytes,
                                     .Time = RejectedBodyTime}
                       : DrainLimits{});
  }
}

bool HttpService::write(int Fd, const HttpResponse &Response,
                        std::string_view Method) {
  const std::string Head = responseHead(Response, Method);
  const std::string_view Body = hasBody(Response.Status, Method)
                                    ? std::string_view(Response.Body)
                                    : std::string_view();
  return sendAll(Fd, Head, Body, now() + Options.Read);
}

HttpResponse serveCaller(Entry &Owner, const LocalEndpoints &Local,
                         HttpRequest Request, int Fd) {
  const Dialect &Speaks = Owner.dialect();
  if (!Speaks.RoutesByHost && isLocal(Request)) {
    return answerLocal(Local, Request, remoteAddress(Fd));
  }
  Metrics &Counts = Owner.Use.Counts;
  Counts.count(Counter::Requests);
  policy::Error LastError;
  const std::string *Named =
      findHeader(Request.Headers, Speaks.Headers.RequestId);
  const std::string Id = Named ? *Named : std::string();
  const policy::TimePoint Arrived = Request.Arrived;
  auto Call = parseCall(Owner, std::move(Request), Arrived, LastError);
  if (!Call) {
    Counts.countError(LastError.Kind);
    log(LogLevel::Warning, "request rejected",
        {{"request", std::string_view(Id)},
         {"kind", policy::errorEntry(LastError.Kind).Name},
         {"run", "no"},
         {"detail", std::string_view(LastError.Detail)},
         {"view", Owner.Use.Views.current()->Sequence}});
    return errorResponse(Speaks, LastError.Kind, LastError.Detail, false);
  }
  Call->CallerFd = Fd;
  EntryCall Running(Owner, std::move(*Call));
  CallResponse Result = Running.run();
  if (Result.Kind) {
    Counts.countError(*Result.Kind);
    return errorResponse(Speaks, *Result.Kind, Result.Detail,
                         Running.retriesExhausted(), Running.retryAfter());
  }
  HttpResponse Response;
  Response.Status = Result.Status;
  Response.Headers = std::move(Result.Headers);
  Response.Body = std::move(Result.Body);
  Response.Share = std::move(Result.Share);
  return Response;
}

} // namespace magnolia::daemon
