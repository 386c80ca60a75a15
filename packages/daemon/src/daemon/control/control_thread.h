#ifndef DAEMON_CONTROL_CONTROL_THREAD_H
#define DAEMON_CONTROL_CONTROL_THREAD_H

#include "daemon/control/control_options.h"
#include "daemon/view/fwd.h"
#include "policy/core/fwd.h"

#include <memory>
#include <string>

namespace magnolia::daemon {

class Sidecar;

// Owner of the control state of a node: membership, configuration, zones and
// moves. All of it is read and changed on one thread; the traffic threads see
// the views that it publishes.
class ControlThread {
public:
  // What the control thread shares with the traffic threads. All of it
  // outlives the control thread.
  struct Links {
    ViewHolder &Views;
    EvidenceRecorder &Evidence;
    LocalBackend &Backend;
    VersionCuts &Cuts;
    // The sidecar of this node refuses new work while its zone is out of
    // service, whatever the entry nodes know.
    Sidecar &Own;
  };

  // Opens the sockets and starts the thread.
  static std::unique_ptr<ControlThread>
  start(ControlOptions Options, Links Shared, policy::Error &LastError);

  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;
  // Ends the thread after the tasks that it holds.
  ~ControlThread();

  // Announces that the node and its backend server take no new work.
  void announceDraining();
  // Announces the stop of the node, after its last request.
  void announceLeft();

  // Control state as JSON. Waits for the control thread; returns an error
  // object where that takes too long.
  [[nodiscard]] std::string dump();
  // Metrics of the control traffic in the Prometheus text format.
  [[nodiscard]] std::string metrics();

private:
  class Implementation;

  explicit ControlThread(std::unique_ptr<Implementation> Started);

  std::unique_ptr<Implementation> Running;
};

} // namespace magnolia::daemon

#endif
