#include "daemon/announce/announcer.h"

#include "daemon/control/clock.h"
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

void copyReport(const BackendReport &Known, LocalBackendState &State) {
  State.Service = Known.Service;
  State.Version = Known.Version;
  State.Instance = Known.Instance;
  State.Address = Known.Address;
  State.Port = Known.Port;
  State.Slots = Known.Slots;
  State.Connections = 0;
  State.Run = Known.Born;
  State.Draining = Known.Stage != BackendStage::Ready;
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

HttpResponse Announcer::handleReport(const HttpRequest &Request) {
  policy::Error LastError;
  const auto Report = Speaks.ReadReport(Request, LastError);
  if (!Report) {
    log(LogLevel::Warning, "backend report rejected",
        {{"reason", std::string_view(LastError.Detail)}});
    return errorResponse(Speaks, LastError.Kind, LastError.Detail, false);
  }
  switch (applyReport(*Report, now())) {
  case ReportVerdict::Foreign:
    log(LogLevel::Warning,
        "backend report is not from the local backend server",
        {{"instance", std::string_view(Report->Instance)},
         {"service", std::string_view(Report->Service)},
         {"address", std::string_view(Report->Address)}});
    return errorResponse(
        Speaks, policy::ErrorKind::BadRequest,
        "the report is not from the local backend server of this node", false);
  case ReportVerdict::Accepted:
  case ReportVerdict::Stale:
    break;
  }
  // The sidecar already refuses new requests. A leave report is acknowledged
  // only after it is stored, so that a restarted node refuses them as well.
  if (!persist() && Report->Stage != BackendStage::Ready) {
    return errorResponse(Speaks, policy::ErrorKind::Shutdown,
                         "the leave report could not be stored", false);
  }
  return acknowledge();
}

ReportVerdict Announcer::applyReport(const BackendReport &Report,
                                     policy::TimePoint Now) {
  const bool Known = Report.Stage == BackendStage::Left ||
                     !Given.IsKnownService ||
                     Given.IsKnownService(Report.Service);
  if (!Known) {
    return ReportVerdict::Foreign;
  }
  BackendReport Received = Report;
  if (Report.Stage == BackendStage::Left) {
    Received.LeftAt = wallNow();
  }
  const std::lock_guard Lock(Mutex);
  const ReportVerdict Verdict = policy::acceptReport(State, Received, Now);
  if (Verdict == ReportVerdict::Accepted && State.Known) {
    apply(*State.Known, Now);
  }
  return Verdict;
}

void Announcer::apply(const BackendReport &Known, policy::TimePoint Now) {
  const LocalBackendState Before = Backend.state();
  LocalBackendState Next = Before;
  copyReport(Known, Next);
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

void Announcer::checkReportTimeout(policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  if (State.Known && Backend.state().Present &&
      Now - State.HeardAt > Given.SilentAfter) {
    log(LogLevel::Warning, "backend server is silent",
        {{"instance", std::string_view(State.Known->Instance)}});
    Backend.setPresent(false);
  }
}

void Announcer::restore(const BackendReport &Before) {
  const std::lock_guard Lock(Mutex);
  if (!policy::restore(State, Before)) {
    return;
  }
  log(LogLevel::Info, "backend server restored",
      {{"instance", std::string_view(Before.Instance)},
       {"stage", stageName(Before.Stage)}});
  Persisted = Before;
  LocalBackendState Next = Backend.state();
  copyReport(Before, Next);
  Next.Present = false;
  Own.apply(Next, now());
  Backend.update(Next);
}

void Announcer::onHealth(const BackendHealth &Health, policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  if (Health.Healthy && policy::confirm(State, Health.Instance, Now)) {
    apply(*State.Known, Now);
  }
}

bool Announcer::storeAgain() {
  std::optional<BackendReport> Known;
  {
    const std::lock_guard Lock(Mutex);
    Known = State.Known;
  }
  if (!Known || !Given.IsStored) {
    return true;
  }
  const std::optional<bool> Stored = Given.IsStored(*Known);
  if (!Stored || *Stored) {
    return Stored.has_value();
  }
  {
    const std::lock_guard Lock(Mutex);
    Persisted.reset();
  }
  return persist();
}

// A report that arrives during a write is stored after it, so that the store
// does not keep the earlier one.
bool Announcer::persist() {
  const std::lock_guard Writing(WriteMutex);
  while (const std::optional<BackendReport> Unstored = unstoredReport()) {
    if (!Given.Persist(*Unstored)) {
      return false;
    }
    const std::lock_guard Lock(Mutex);
    Persisted = Unstored;
  }
  return true;
}

std::optional<BackendReport> Announcer::unstoredReport() const {
  const std::lock_guard Lock(Mutex);
  const bool IsStored = State.Known && Persisted &&
                        policy::restoresTheSame(*Persisted, *State.Known);
  return IsStored || !Given.Persist ? std::nullopt : State.Known;
}

} // namespace magnolia::daemon
