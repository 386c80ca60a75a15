#ifndef DAEMON_CONTROL_CONTROL_ENDPOINT_H
#define DAEMON_CONTROL_CONTROL_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>

namespace magnolia::daemon {

// Address at which a node serves control calls.
struct ControlEndpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const ControlEndpoint &) const = default;
};

} // namespace magnolia::daemon

#endif
