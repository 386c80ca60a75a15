#ifndef SETTINGS_RECORD_CALLER_LIMITS_H
#define SETTINGS_RECORD_CALLER_LIMITS_H

#include <cstdint>

namespace magnolia::settings {

// Size limits and timeouts for a caller's requests. 0 means the value of the
// node's settings.
struct CallerLimits {
  std::uint64_t HeadBytes = 0;
  std::uint64_t BodyBytes = 0;
  std::uint64_t HeadTimeoutMs = 0;
  std::uint64_t IdleTimeoutMs = 0;

  bool operator==(const CallerLimits &) const = default;
};

} // namespace magnolia::settings

#endif
