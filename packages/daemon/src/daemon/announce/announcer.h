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
  // Address of the backend server beside the node; empty and 0: any.
  std::string Address;
  std::uint16_t Port = 0;
  // Silence after which the backend server counts as gone.
  policy::Duration SilentAfter{};
  // True where the configuration has the service, or is not known yet.
  std::function<bool(std::string_view Service)> IsKnown;
  // Keeps what the backend server said, so that a restarted node goes on from
  // it; false where that failed. A leave report is acknowledged only once kept.
  std::function<bool(const policy::BackendReport &Report)> Keep;
};

// Takes the reports of the backend server beside the node and tells the
// sidecar and the fleet what follows from them.
class Announcer {
public:
  Announcer(AnnouncerOptions Given, const Dialect &Speaks, Sidecar &Own,
            LocalBackend &Backend);

  // Answers a request with a report.
  [[nodiscard]] HttpResponse answer(const HttpRequest &Request);
  [[nodiscard]] policy::ReportVerdict take(const policy::BackendReport &Report,
                                           policy::TimePoint Now);
  // Takes the backend server out of service where it is silent.
  void checkSilence(policy::TimePoint Now);
  // Takes over what was known before a restart of this node.
  void restore(const policy::BackendReport &Kept);
  // The backend server has answered on its health endpoint.
  void onHealth(const BackendHealth &Health, policy::TimePoint Now);

private:
  void apply(const policy::BackendReport &Known, policy::TimePoint Now);
  // False where a change of what is known could not be kept.
  [[nodiscard]] bool keep();

  const AnnouncerOptions Given;
  const Dialect &Speaks;
  Sidecar &Own;
  LocalBackend &Backend;
  // Held while a report is applied, so that reports take effect in order.
  std::mutex Mutex;
  policy::AnnounceState State;
  // Last report that Keep took.
  std::optional<policy::BackendReport> Kept;
};

} // namespace magnolia::daemon

#endif
