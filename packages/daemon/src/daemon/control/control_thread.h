#ifndef DAEMON_CONTROL_CONTROL_THREAD_H
#define DAEMON_CONTROL_CONTROL_THREAD_H

#include "daemon/control/control_options.h"
#include "daemon/view/fwd.h"
#include "policy/core/fwd.h"

#include <memory>
#include <string>

namespace magnolia::daemon {

class RunCounter;
class Sidecar;

// Owns the control state of a node: membership, configuration, zones and
// rollouts. One thread reads and changes it; the traffic threads read the views
// that this thread publishes.
class ControlThread {
public:
  // Objects that the control thread shares with the traffic threads. They must
  // outlive the control thread.
  struct Links {
    ViewHolder &Views;
    ResponseRecorder &Responses;
    LocalBackend &Backend;
    ShareOverrides &Overrides;
    // The sidecar of this node refuses new requests while its zone is out of
    // service, even if an entry node does not know that yet.
    Sidecar &Own;
    // Counts for the usage report. Null if there is none.
    RunCounter *Runs = nullptr;
  };

  // Opens the sockets and starts the thread.
  static std::unique_ptr<ControlThread>
  start(ControlOptions Options, Links Shared, policy::Error &LastError);

  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;
  // Runs the queued tasks and then ends the thread.
  ~ControlThread();

  // Announces to the members that the node and its backend server are draining.
  void announceDraining();
  // Announces that the node has left. To be called after its last request.
  void announceLeft();

  // Control state as JSON. Blocks until the control thread has written it;
  // returns an error object after a time-out.
  [[nodiscard]] std::string dump();
  // Control traffic metrics in the Prometheus text format.
  [[nodiscard]] std::string metrics();

private:
  class Implementation;

  explicit ControlThread(std::unique_ptr<Implementation> Started);

  std::unique_ptr<Implementation> Running;
};

} // namespace magnolia::daemon

#endif
