#ifndef DAEMON_SIDECAR_BACKEND_WATCH_H
#define DAEMON_SIDECAR_BACKEND_WATCH_H

#include "daemon/http/message.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/view/local_backend.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace magnolia::daemon {

// Checks the local backend server at a fixed interval: whether it accepts
// connections, and what its load endpoint reports. The endpoint may lag or be
// wrong, so only a changed incarnation is acted on, which can only make the
// sidecar more cautious.
class BackendWatch {
public:
  struct Options {
    // Returns the path of the load or health endpoint, or an empty string.
    std::function<std::string()> LoadPath;
    policy::Duration Interval{};
    // True if the settings name the backend server. It then counts as present
    // while it accepts connections; one that announced itself stays present.
    bool FromSettings = false;
    // Called with each response of the health endpoint; may be empty.
    std::function<void(const BackendHealth &Health, policy::TimePoint Now)>
        OnHealth;
    // Called after each check; may be empty.
    std::function<void(policy::TimePoint Now)> AfterCheck;
  };

  BackendWatch(Sidecar &Owner, LocalBackend &Backend, Options Opts);
  ~BackendWatch();
  BackendWatch(const BackendWatch &) = delete;
  BackendWatch &operator=(const BackendWatch &) = delete;

private:
  void run();
  void check();
  // Returns nothing if the backend server sends no complete response.
  [[nodiscard]] std::optional<HttpResponse> readLoad(BackendConnection &To,
                                                     const std::string &Path);
  // Sends the request and reads the response. Returns nothing on failure.
  [[nodiscard]] static std::optional<HttpResponse>
  exchange(BackendConnection &To, const HttpRequest &Request,
           policy::TimePoint Until);
  [[nodiscard]] std::unique_ptr<BackendConnection> connect();
  [[nodiscard]] bool namesRequest(const HttpResponse &Response) const;
  void applyHealth(const HttpResponse &Response);

  Sidecar &Owner;
  LocalBackend &Backend;
  const Options Opts;
  int Failures = 0;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace magnolia::daemon

#endif
