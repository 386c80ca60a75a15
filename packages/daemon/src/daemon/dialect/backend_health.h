#ifndef DAEMON_DIALECT_BACKEND_HEALTH_H
#define DAEMON_DIALECT_BACKEND_HEALTH_H

#include "policy/core/types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace magnolia::daemon {

// What a backend server says of itself on its health endpoint. Fields that it
// leaves out are unknown.
struct BackendHealth {
  bool Healthy = false;
  std::string Instance;
  // Lifetime, where it states one.
  policy::Incarnation Run = 0;
  std::optional<policy::Duration> ColdLeft;
};

} // namespace magnolia::daemon

#endif
