#ifndef DAEMON_LOG_GUARDED_H
#define DAEMON_LOG_GUARDED_H

#include "daemon/log/log.h"

#include <exception>
#include <string_view>
#include <utility>

namespace magnolia::daemon {

// Runs one step of a thread's loop. An exception, for example for lack of
// memory, is logged and ends this step only, not the process. Returns false if
// there was one.
template <class Step> bool runGuarded(std::string_view Name, Step &&Work) {
  try {
    std::forward<Step>(Work)();
    return true;
  } catch (const std::exception &Reason) {
    log(LogLevel::Error, "step ended by an exception",
        {{"step", Name}, {"reason", std::string_view(Reason.what())}});
    return false;
  }
}

} // namespace magnolia::daemon

#endif
