#include "daemon/announce/report_cleanup.h"

#include "daemon/log/log.h"
#include "policy/announce/accept_report.h"
#include "settings/record/backend_record.h"
#include "settings/record/record_key.h"

#include <chrono>

namespace magnolia::daemon {

namespace {

constexpr std::chrono::milliseconds CallTimeout{2000};

bool isObsolete(const store::Entry &Held, policy::TimePoint WallNow) {
  policy::Error LastError;
  const auto Stored = settings::parseBackend(Held.Value, LastError);
  return Stored && policy::isObsolete(*Stored, WallNow);
}

} // namespace

std::size_t removeObsoleteReports(const store::StoreOperations &Store,
                                  policy::TimePoint WallNow) {
  store::StoreError LastError;
  const auto Reports =
      Store.Range(settings::BackendPrefix, CallTimeout, LastError);
  if (!Reports) {
    log(LogLevel::Warning, "cannot read the reports of backend servers",
        {{"reason", std::string_view(LastError.Detail)}});
    return 0;
  }
  std::size_t Removed = 0;
  for (const store::Entry &Held : Reports->Entries) {
    if (isObsolete(Held, WallNow) &&
        Store.Delete(Held.Key, Held.ModRevision, CallTimeout, LastError)) {
      ++Removed;
    }
  }
  log(LogLevel::Info, "reports of servers that left removed",
      {{"removed", std::uint64_t{Removed}}});
  return Removed;
}

} // namespace magnolia::daemon
