#ifndef DAEMON_NODE_PROCESS_SIGNALS_H
#define DAEMON_NODE_PROCESS_SIGNALS_H

#include "policy/core/types.h"

#include <csignal>
#include <optional>

namespace magnolia::daemon {

// Signals to which the process responds: SIGTERM and SIGINT stop it, SIGHUP
// says that its settings have changed. They are blocked in every thread and
// received by the main thread only, so that none of them ends the process at a
// moment of its own. SIGPIPE is ignored.
class ProcessSignals {
public:
  // To be called before the process creates any other thread.
  ProcessSignals();

  // Waits for a signal up to the given time. Returns nothing if none arrived.
  [[nodiscard]] std::optional<int> wait(policy::Duration Time) const;

  // Sleeps. Returns false at once when the process must stop. A SIGHUP in the
  // meantime has no effect: a node that starts reads its settings anyway.
  [[nodiscard]] bool sleep(policy::Duration Time) const;

private:
  sigset_t Received{};
};

} // namespace magnolia::daemon

#endif
