#ifndef DAEMON_DIALECT_BACKEND_HEALTH_H
#define DAEMON_DIALECT_BACKEND_HEALTH_H

#include "policy/core/types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace magnolia::daemon {

// State that a backend server reports on its health endpoint. Fields missing
// from the response are unknown.
struct BackendHealth {
  bool Healthy = false;
  std::string Instance;
  // Incarnation of the backend server, or 0 if it states none.
  policy::Incarnation Run = 0;
  std::optional<policy::Duration> ColdLeft;
};

} // namespace magnolia::daemon

#endif
