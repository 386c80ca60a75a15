#ifndef DAEMON_PEER_FWD_H
#define DAEMON_PEER_FWD_H

namespace magnolia::daemon {

class PeerConnection;
class PeerExchange;
class PeerPool;
struct CallResponse;
struct CallRequest;
struct PeerIdentity;
struct PeerLimits;

} // namespace magnolia::daemon

#endif
