#include "daemon/announce/report_store.h"

#include "daemon/log/log.h"
#include "policy/announce/accept_report.h"
#include "policy/core/error.h"
#include "settings/record/backend_record.h"
#include "settings/record/record_key.h"
#include "store/core/put_request.h"
#include "store/core/store_error.h"

#include <chrono>
#include <string_view>

namespace magnolia::daemon {

namespace {

// Timeout of each call to the store that delays the response to a backend
// server's report. The backend server gives up after 1 s.
constexpr std::chrono::milliseconds CallTimeout{350};
// Writes of one report: on the known revision, on none if that one is from
// before the store was restored from a copy, and on the one that the store
// names.
constexpr int MaxTries = 3;

} // namespace

void ReportStore::setRevision(const std::string &Key,
                              store::Revision Revision) {
  const std::lock_guard Lock(Mutex);
  LastKey = Key;
  LastRevision = Revision;
}

store::Revision ReportStore::revisionOf(const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  return Key == LastKey ? LastRevision : 0;
}

bool ReportStore::write(const policy::BackendReport &Report) {
  if (!Operations.Put) {
    return true;
  }
  store::StoreError LastError;
  if (put(Report, LastError)) {
    return true;
  }
  log(LogLevel::Warning, "cannot store the report of the backend server",
      {{"instance", std::string_view(Report.Instance)},
       {"reason", std::string_view(LastError.Detail)}});
  return false;
}

bool ReportStore::put(const policy::BackendReport &Report,
                      store::StoreError &LastError) {
  store::PutRequest Request = {
      .Key = settings::backendKey(Report.Address, Report.Port),
      .Value = settings::formatBackend(Report)};
  Request.Expected = revisionOf(Request.Key);
  for (int Tries = 0; Tries < MaxTries; ++Tries) {
    if (const auto Written = Operations.Put(Request, CallTimeout, LastError)) {
      setRevision(Request.Key, *Written);
      return true;
    }
    if (LastError.Kind != store::StoreErrorKind::Conflict) {
      return false;
    }
    Request.Expected = LastError.Current;
  }
  return false;
}

std::optional<bool> ReportStore::holds(const policy::BackendReport &Report) {
  if (!Operations.Read) {
    return true;
  }
  store::StoreError LastError;
  const auto Held =
      Operations.Read(settings::backendKey(Report.Address, Report.Port),
                      CallTimeout, LastError);
  if (!Held && LastError.Kind != store::StoreErrorKind::NotFound) {
    return std::nullopt;
  }
  policy::Error ParseError;
  const auto Stored =
      Held ? settings::parseBackend(Held->Value, ParseError) : std::nullopt;
  return Stored && policy::restoresTheSame(*Stored, Report);
}

} // namespace magnolia::daemon
