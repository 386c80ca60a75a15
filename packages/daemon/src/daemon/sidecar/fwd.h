#ifndef DAEMON_SIDECAR_FWD_H
#define DAEMON_SIDECAR_FWD_H

namespace magnolia::daemon {

class BackendPool;
class Sidecar;
class SidecarCall;
struct BackendConnection;
struct SidecarOptions;

} // namespace magnolia::daemon

#endif
