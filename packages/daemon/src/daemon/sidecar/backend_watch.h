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

// Watches the own backend server at a fixed interval: whether it accepts
// connections, and what its load endpoint says. The endpoint may lag or
// mislead, so only a changed incarnation is acted on, which makes the sidecar
// more careful and never less.
class BackendWatch {
public:
  struct Options {
    // Path of the load or health endpoint; empty: none.
    std::function<std::string()> LoadPath;
    policy::Duration Interval{};
    // True where the settings name the backend server: it counts as present
    // while it accepts connections. One that announced itself stays present.
    bool FromSettings = false;
    // Called with each answer of the health endpoint; may be empty.
    std::function<void(const BackendHealth &Health, policy::TimePoint Now)>
        OnHealth;
    // Called after each check; may be empty.
    std::function<void(policy::TimePoint Now)> AfterCheck;
  };

  BackendWatch(Sidecar &Owner, LocalBackend &Backend, Options Given);
  ~BackendWatch();
  BackendWatch(const BackendWatch &) = delete;
  BackendWatch &operator=(const BackendWatch &) = delete;

private:
  void run();
  void check();
  // Nothing where the backend server gives no whole answer.
  [[nodiscard]] std::optional<HttpResponse> readLoad(BackendConnection &To,
                                                     const std::string &Path);
  [[nodiscard]] std::unique_ptr<BackendConnection> connect();
  void takeHealth(const HttpResponse &Response);

  Sidecar &Owner;
  LocalBackend &Backend;
  const Options Given;
  int Failures = 0;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace magnolia::daemon

#endif
