#include "daemon/sidecar/backend_watch.h"

#include "daemon/log/guarded.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "daemon/sidecar/backend_headers.h"

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

namespace {

// Shorter check interval while the backend server is absent.
constexpr policy::Duration AbsentInterval = std::chrono::milliseconds(100);
constexpr policy::Duration Timeout = std::chrono::milliseconds(500);

// Largest body of a health response that is read.
constexpr std::size_t MaxHealthBytes = 65'536;

// Consecutive failed connections after which the backend server counts as
// absent.
constexpr int FailuresUntilAbsent = 2;

} // namespace

BackendWatch::BackendWatch(Sidecar &Owner, LocalBackend &Backend, Options Opts)
    : Owner(Owner), Backend(Backend), Opts(std::move(Opts)),
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
    (void)runGuarded("check of the backend server", [this] {
      if (Backend.state().Port != 0) {
        check();
      }
      if (Opts.AfterCheck) {
        Opts.AfterCheck(now());
      }
    });
    const bool Present = Backend.state().Present;
    Lock.lock();
    Wake.wait_for(
        Lock, Present ? Opts.Interval : std::min(Opts.Interval, AbsentInterval),
        [this] { return Stopping; });
  }
}

void BackendWatch::check() {
  std::unique_ptr<BackendConnection> Connection = connect();
  if (!Connection) {
    ++Failures;
    LocalBackendState State = Backend.state();
    if (Opts.FromSettings && State.Present && Failures >= FailuresUntilAbsent) {
      log(LogLevel::Warning, "the backend server accepts no connections");
      Backend.setPresent(false);
    }
    return;
  }
  Failures = 0;
  if (Opts.FromSettings && !Backend.state().Present) {
    log(LogLevel::Info, "the backend server accepts connections");
    Backend.setPresent(true);
  }
  const std::string Path = Opts.LoadPath ? Opts.LoadPath() : std::string();
  if (Path.empty()) {
    return;
  }
  Owner.metrics().count(Counter::LoadPolls);
  const auto Response = readLoad(*Connection, Path);
  if (!Response || namesRequest(*Response)) {
    return;
  }
  if (!Opts.FromSettings && Response->KeepAlive &&
      !Connection->Reader.hasBytes()) {
    Owner.pool().give(std::move(Connection), now());
  }
  applyHealth(*Response);
}

// A server named in the settings is checked by opening a new connection. One
// that announces itself is polled over an idle connection.
std::unique_ptr<BackendConnection> BackendWatch::connect() {
  if (!Opts.FromSettings) {
    bool ClosedEarly = false;
    auto Idle =
        Owner.pool().takeIdle(now(), policy::Duration::max(), ClosedEarly);
    if (Idle) {
      return Idle;
    }
  }
  return Owner.pool().open(now() + Timeout);
}

std::optional<HttpResponse> BackendWatch::readLoad(BackendConnection &To,
                                                   const std::string &Path) {
  const policy::TimePoint Until = now() + Timeout;
  HttpRequest Request;
  Request.Method = "GET";
  Request.Target = Path;
  if (Opts.FromSettings) {
    Request.Headers = {{"Connection", "close"}};
  }
  const HttpLimits Usual = Owner.options().ResponseLimits;
  To.Reader.limit({.HeadBytes = Usual.HeadBytes,
                   .BodyBytes = std::min(Usual.BodyBytes, MaxHealthBytes)});
  To.Reader.begin(Request.Method);
  auto Response = exchange(To, Request, Until);
  To.Reader.limit(Usual);
  return Response;
}

std::optional<HttpResponse> BackendWatch::exchange(BackendConnection &To,
                                                   const HttpRequest &Request,
                                                   policy::TimePoint Until) {
  if (!sendAll(To.Socket.fd(), requestHead(Request, "localhost", 0), {},
               Until)) {
    return std::nullopt;
  }
  while (now() < Until) {
    const auto Count = receiveSome(To.Socket.fd(), To.Reader.prepare());
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
  return std::nullopt;
}

// A check has no request id, so a response with one belongs to an earlier
// request. The one to the check may follow, and the connection is closed.
bool BackendWatch::namesRequest(const HttpResponse &Response) const {
  const std::string *Id =
      findOptionalHeader(Response.Headers, Owner.dialect().Headers.RequestId);
  if (!Id || Id->empty()) {
    return false;
  }
  Owner.metrics().count(Counter::BackendExtraAnswers);
  return true;
}

// A lagging endpoint may still report an earlier incarnation, so only a later
// one counts.
void BackendWatch::applyHealth(const HttpResponse &Response) {
  const auto Health = Owner.dialect().ReadHealth(Response);
  if (!Health) {
    return;
  }
  if (Health->Run > Owner.admissionState().Backend) {
    Owner.onBackendIncarnation(Health->Run, now());
  }
  const LocalBackendState Known = Backend.state();
  if (Known.Present && !Health->Instance.empty() && !Known.Instance.empty() &&
      Health->Instance != Known.Instance) {
    Owner.onOtherInstance();
    return;
  }
  if (Owner.dialect().ReadWorkTime) {
    if (const auto Percent = Owner.dialect().ReadWorkTime(Response)) {
      Owner.onWorkTime(*Percent, now());
    }
  }
  if (Health->ColdLeft) {
    Owner.onColdLeft(*Health->ColdLeft, now());
  }
  if (Opts.OnHealth) {
    Opts.OnHealth(*Health, now());
  }
}

} // namespace magnolia::daemon
