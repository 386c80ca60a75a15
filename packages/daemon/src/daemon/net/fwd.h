#ifndef DAEMON_NET_FWD_H
#define DAEMON_NET_FWD_H

namespace magnolia::daemon {

class ConnectionServer;
class FiberLoop;
class FiberPool;
class FiberSignal;
class FiberStacks;
class Session;
class AdaptiveSpin;
class UniqueFd;

} // namespace magnolia::daemon

#endif
