#include "daemon/sidecar/backend_watch.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

namespace {

// Until the backend server is there, it is looked for more often.
constexpr policy::Duration AbsentInterval = std::chrono::milliseconds(100);
constexpr policy::Duration Timeout = std::chrono::milliseconds(500);

// Refused connections in a row after which it counts as gone.
constexpr int FailuresUntilAbsent = 2;

} // namespace

BackendWatch::BackendWatch(Sidecar &Owner, LocalBackend &Backend, Options Given)
    : Owner(Owner), Backend(Backend), Given(std::move(Given)),
      Thread([this] { run(); }) {}

BackendWatch::~BackendWatch() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  Thread.join();
}

void BackendWatch::run() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    if (Backend.state().Port != 0) {
      check();
    }
    const bool Present = Backend.state().Present;
    Lock.lock();
    Wake.wait_for(Lock,
                  Present ? Given.Interval
                          : std::min(Given.Interval, AbsentInterval),
                  [this] { return Stopping; });
  }
}

void BackendWatch::check() {
  const auto Connection = Owner.pool().open(now() + Timeout);
  if (!Connection) {
    ++Failures;
    LocalBackendState State = Backend.state();
    if (Given.FromSettings && State.Present &&
        Failures >= FailuresUntilAbsent) {
      log(LogLevel::Warning, "the backend server accepts no connections");
      Backend.setPresent(false);
    }
    return;
  }
  Failures = 0;
  if (Given.FromSettings && !Backend.state().Present) {
    log(LogLevel::Info, "the backend server accepts connections");
    Backend.setPresent(true);
  }
  if (Given.LoadPath.empty()) {
    return;
  }
  Owner.metrics().count(Counter::LoadPolls);
  if (const auto Response = readLoad(*Connection)) {
    takeLoad(Response->Body);
  }
}

std::optional<HttpResponse> BackendWatch::readLoad(BackendConnection &To) {
  const policy::TimePoint Until = now() + Timeout;
  HttpRequest Request;
  Request.Method = "GET";
  Request.Target = Given.LoadPath;
  Request.Headers = {{"Connection", "close"}};
  if (!sendAll(To.Socket.fd(), requestHead(Request, "localhost", 0), {},
               Until)) {
    return std::nullopt;
  }
  for (;;) {
    const auto Count = receiveSome(To.Socket.fd(), To.Reader.room());
    if (Count < 0 || (Count == 0 && !waitReadable(To.Socket.fd(), Until))) {
      return std::nullopt;
    }
    To.Reader.commit(static_cast<std::size_t>(Count));
    const HttpReadStatus Status = To.Reader.read();
    if (Status != HttpReadStatus::NeedMore) {
      return Status == HttpReadStatus::Ready
                 ? std::optional(To.Reader.takeResponse())
                 : std::nullopt;
    }
  }
}

// A lagging endpoint may still name an earlier run, so only a later one counts.
void BackendWatch::takeLoad(const std::string &Body) {
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object()) {
    return;
  }
  const auto Run = Json.find("incarnation");
  if (Run != Json.end() && Run->is_number_unsigned() &&
      Run->get<policy::Incarnation>() > Owner.admissionState().Backend) {
    Owner.onBackendIncarnation(Run->get<policy::Incarnation>(), now());
  }
}

} // namespace magnolia::daemon
