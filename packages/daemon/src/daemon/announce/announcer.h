#ifndef DAEMON_ANNOUNCE_ANNOUNCER_H
#define DAEMON_ANNOUNCE_ANNOUNCER_H

#include "daemon/dialect/dialect.h"
#include "daemon/http/message.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/view/local_backend.h"
#include "policy/announce/accept_report.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::daemon {

struct AnnouncerOptions {
  // Address of the local backend server; an empty address and port 0 accept
  // reports of any server.
  std::string Address;
  std::uint16_t Port = 0;
  // Time without a report after which the backend server is considered gone.
  policy::Duration SilentAfter{};
  // Returns whether the configuration has the service. True while the node has
  // no configuration yet.
  std::function<bool(std::string_view Service)> IsKnownService;
  // Stores a report, from which the node restores the backend server's state
  // after a restart. Returns false on failure. A leave report is acknowledged
  // only after it is stored.
  std::function<bool(const policy::BackendReport &Report)> Persist;
  // Returns whether the store holds this report, or nothing if it cannot be
  // read.
  std::function<std::optional<bool>(const policy::BackendReport &Report)>
      IsStored;
};

// Receives the reports of the local backend server and applies them to the
// sidecar and to the state that is announced to the fleet.
class Announcer {
public:
  Announcer(AnnouncerOptions Given, const Dialect &Speaks, Sidecar &Own,
            LocalBackend &Backend);

  // Responds to a request that carries a report.
  [[nodiscard]] HttpResponse handleReport(const HttpRequest &Request);
  [[nodiscard]] policy::ReportVerdict
  applyReport(const policy::BackendReport &Report, policy::TimePoint Now);
  // Takes the backend server out of service if its reports have stopped.
  void checkReportTimeout(policy::TimePoint Now);
  // Restores the report that was stored before a restart of this node.
  void restore(const policy::BackendReport &Persisted);
  // Stores the last report again unless the store still holds it. To be called
  // after the store was restored from a copy. Returns false on failure.
  [[nodiscard]] bool storeAgain();
  // Handles a result of the health check of the backend server.
  void onHealth(const BackendHealth &Health, policy::TimePoint Now);

private:
  void apply(const policy::BackendReport &Known, policy::TimePoint Now);
  // Stores the last report if it changed. Returns false if that failed.
  [[nodiscard]] bool persist();
  // Returns the last report if the store does not hold it.
  [[nodiscard]] std::optional<policy::BackendReport> unstoredReport() const;

  const AnnouncerOptions Given;
  const Dialect &Speaks;
  Sidecar &Own;
  LocalBackend &Backend;
  // Locked while a report is applied, so that reports take effect in order.
  mutable std::mutex Mutex;
  // Locked during writes to the store, so that a report is not written over a
  // later one.
  std::mutex WriteMutex;
  policy::AnnounceState State;
  // Last report that was stored.
  std::optional<policy::BackendReport> Persisted;
};

} // namespace magnolia::daemon

#endif
