#ifndef DAEMON_VIEW_BACKEND_ENDPOINT_H
#define DAEMON_VIEW_BACKEND_ENDPOINT_H

#include "policy/core/types.h"

#include <cstdint>
#include <string>

namespace magnolia::daemon {

// Backend server of a service and the sidecar through which it is reached.
struct BackendEndpoint {
  policy::NodeId Node = 0;
  // Address and peer port of the sidecar.
  std::string Address;
  std::uint16_t PeerPort = 0;
  std::string Zone;
  std::string Version;
  // Incarnation of the sidecar; 0 if unknown.
  policy::Incarnation Run = 0;
  bool Draining = false;
  // Network round-trip cost from this node to the endpoint's zone.
  policy::Duration ZoneDistance{};
};

} // namespace magnolia::daemon

#endif
