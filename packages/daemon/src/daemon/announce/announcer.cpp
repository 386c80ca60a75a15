#include "daemon/announce/announcer.h"

#include "daemon/entry/parse_call.h"
#include "daemon/log/log.h"
#include "daemon/net/clock.h"

#include <utility>

namespace magnolia::daemon {

using policy::BackendReport;
using policy::BackendStage;
using policy::ReportVerdict;

namespace {

std::string_view stageName(BackendStage Stage) {
  switch (Stage) {
  case BackendStage::Ready:
    return "ready";
  case BackendStage::Draining:
    return "draining";
  case BackendStage::Left:
    return "left";
  }
  return "left";
}

HttpResponse acknowledge() {
  HttpResponse Response;
  Response.Headers = {{"Content-Type", "application/json"}};
  Response.Body = "{}";
  return Response;
}

} // namespace

Announcer::Announcer(AnnouncerOptions Options, const Dialect &Speaks,
                     Sidecar &Own, LocalBackend &Backend)
    : Given(std::move(Options)), Speaks(Speaks), Own(Own), Backend(Backend) {
  State.Address = Given.Address;
  State.Port = Given.Port;
}

HttpResponse Announcer::answer(const HttpRequest &Request) {
  policy::Error LastError;
  const auto Report = Speaks.ReadReport(Request, LastError);
  if (!Report) {
    log(LogLevel::Warning, "backend report rejected",
        {{"reason", std::string_view(LastError.Detail)}});
    return errorResponse(Speaks, LastError.Kind, LastError.Detail, false);
  }
  switch (take(*Report, now())) {
  case ReportVerdict::Foreign:
    log(LogLevel::Warning, "backend report of another server",
        {{"instance", std::string_view(Report->Instance)},
         {"service", std::string_view(Report->Service)},
         {"address", std::string_view(Report->Address)}});
    return errorResponse(Speaks, policy::ErrorKind::BadRequest,
                         "not the backend server beside this node", false);
  case ReportVerdict::Accepted:
  case ReportVerdict::Stale:
    break;
  }
  // The sidecar refuses new work already; the acknowledgement is given once a
  // restarted node would refuse it as well.
  if (Report->Stage != BackendStage::Ready && Given.KeepLeaving &&
      !Given.KeepLeaving(*Report)) {
    return errorResponse(Speaks, policy::ErrorKind::Shutdown,
                         "the farewell could not be kept", false);
  }
  return acknowledge();
}

ReportVerdict Announcer::take(const BackendReport &Report,
                              policy::TimePoint Now) {
  const bool Known = Report.Stage == BackendStage::Left || !Given.IsKnown ||
                     Given.IsKnown(Report.Service);
  if (!Known) {
    return ReportVerdict::Foreign;
  }
  const std::lock_guard Lock(Mutex);
  const ReportVerdict Verdict = policy::acceptReport(State, Report, Now);
  if (Verdict == ReportVerdict::Accepted && State.Known) {
    apply(*State.Known, Now);
  }
  return Verdict;
}

void Announcer::apply(const BackendReport &Known, policy::TimePoint Now) {
  const LocalBackendState Before = Backend.state();
  LocalBackendState Next = Before;
  Next.Service = Known.Service;
  Next.Version = Known.Version;
  Next.Instance = Known.Instance;
  Next.Address = Known.Address;
  Next.Port = Known.Port;
  Next.Slots = Known.Slots;
  Next.Connections = 0;
  Next.Run = Known.Born;
  Next.Draining = Known.Stage != BackendStage::Ready;
  Next.Present = Known.Stage != BackendStage::Left;
  if (Before.Instance != Next.Instance || Before.Run != Next.Run) {
    Own.pool().closeAll();
  }
  Own.onColdLeft(Known.ColdLeft, Now);
  if (Next == Before) {
    return;
  }
  log(LogLevel::Info, "backend server announced",
      {{"instance", std::string_view(Known.Instance)},
       {"service", std::string_view(Known.Service)},
       {"version", std::string_view(Known.Version)},
       {"stage", stageName(Known.Stage)},
       {"born", Known.Born},
       {"sequence", Known.Sequence}});
  Own.apply(Next, Now);
  Backend.update(Next);
}

void Announcer::checkSilence(policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  if (State.Known && Backend.state().Present &&
      Now - State.HeardAt > Given.SilentAfter) {
    log(LogLevel::Warning, "backend server is silent",
        {{"instance", std::string_view(State.Known->Instance)}});
    Backend.setPresent(false);
  }
}

void Announcer::noteLeaving(std::string_view Instance,
                            policy::Incarnation Born) {
  const std::lock_guard Lock(Mutex);
  policy::noteLeaving(State, Instance, Born);
  if (State.Known) {
    apply(*State.Known, now());
  }
}

} // namespace magnolia::daemon
