#include "daemon/node/process_signals.h"

#include "daemon/control/clock.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <ctime>

namespace magnolia::daemon {

ProcessSignals::ProcessSignals() {
  sigemptyset(&Received);
  sigaddset(&Received, SIGTERM);
  sigaddset(&Received, SIGINT);
  sigaddset(&Received, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Received, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

std::optional<int> ProcessSignals::wait(policy::Duration Time) const {
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Time);
  const timespec Limit{.tv_sec = Seconds.count(),
                       .tv_nsec = (Time - Seconds).count()};
  const int Signal = ::sigtimedwait(&Received, nullptr, &Limit);
  return Signal > 0 ? std::optional(Signal) : std::nullopt;
}

bool ProcessSignals::sleep(policy::Duration Time) const {
  const policy::TimePoint Until = steadyNow() + Time;
  for (;;) {
    const policy::Duration Left =
        std::max(Until - steadyNow(), policy::Duration{0});
    const auto Signal = wait(Left);
    if (Signal && *Signal != SIGHUP) {
      return false;
    }
    if (!Signal && steadyNow() >= Until) {
      return true;
    }
  }
}

} // namespace magnolia::daemon
