#include "daemon/entry/http_service.h"

#include "daemon/entry/caller_connection.h"
#include "daemon/entry/entry_call.h"
#include "daemon/entry/local_endpoints.h"
#include "daemon/entry/parse_call.h"
#include "daemon/entry/reject_unread.h"
#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace magnolia::daemon {

using policy::ErrorKind;

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

void HttpService::serve(Session &Accepted) {
  CallerConnection(State, Accepted).serve();
}

void HttpService::refuse(Session &Accepted) {
  HttpResponse Response =
      errorResponse(State.Speaks, ErrorKind::Overloaded,
                    "too many connections to this node", false);
  Response.KeepAlive = false;
  (void)sendAll(Accepted.fd(), responseHead(Response, {}), Response.Body,
                now() + State.Options.Read);
  Accepted.onOutput(now());
  Accepted.setLinger(closeLimits(State.Options));
}

HttpResponse serveCaller(Entry &Owner, const LocalEndpoints &Local,
                         HttpRequest Request, CallerWatch &From) {
  const Dialect &Speaks = Owner.dialect();
  if (!Speaks.RoutesByHost && isLocal(Request)) {
    return answerLocal(Local, Request);
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
  Call->Caller = &From;
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
