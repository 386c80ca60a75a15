#ifndef SETTINGS_RECORD_SERVICE_LIMITS_H
#define SETTINGS_RECORD_SERVICE_LIMITS_H

#include <cstdint>
#include <string>

namespace magnolia::settings {

// Limits of one backend server of a service.
struct ServiceLimits {
  std::string Service;
  std::string HealthPath;
  // Connections from all callers together.
  std::uint32_t Connections = 0;
  // Length of a cold start, and requests a second that a cold server takes.
  std::uint64_t ColdStartMs = 0;
  double ColdPerSecond = 0;

  bool operator==(const ServiceLimits &) const = default;
};

} // namespace magnolia::settings

#endif
