#ifndef DAEMON_NET_FWD_H
#define DAEMON_NET_FWD_H

namespace magnolia::daemon {

class ConnectionServer;
class Session;
class SpinGate;
class UniqueFd;

} // namespace magnolia::daemon

#endif
