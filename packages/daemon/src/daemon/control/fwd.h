#ifndef DAEMON_CONTROL_FWD_H
#define DAEMON_CONTROL_FWD_H

namespace magnolia::daemon {

class ControlClient;
class ControlServer;
class ControlThread;
class GossipSocket;
class StoreWorker;
class TaskQueue;
struct ControlEndpoint;
struct ControlOptions;
struct ControlState;

} // namespace magnolia::daemon

#endif
