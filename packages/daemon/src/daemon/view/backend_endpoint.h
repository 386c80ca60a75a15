#ifndef DAEMON_VIEW_BACKEND_ENDPOINT_H
#define DAEMON_VIEW_BACKEND_ENDPOINT_H

#include "policy/core/types.h"

#include <cstdint>
#include <string>

namespace magnolia::daemon {

// One backend server of a service, reached through its sidecar.
struct BackendEndpoint {
  policy::NodeId Node = 0;
  // Address and peer port of the sidecar.
  std::string Address;
  std::uint16_t PeerPort = 0;
  std::string Zone;
  std::string Version;
  // Incarnation of the sidecar; 0 where unknown.
  policy::Incarnation Run = 0;
  bool Draining = false;
  // Cost of the way from this node to the endpoint's zone.
  policy::Duration ZoneDistance{};
};

} // namespace magnolia::daemon

#endif
