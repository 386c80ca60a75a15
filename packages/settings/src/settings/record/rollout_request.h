#ifndef SETTINGS_RECORD_ROLLOUT_REQUEST_H
#define SETTINGS_RECORD_ROLLOUT_REQUEST_H

#include <cstdint>
#include <string>

namespace magnolia::settings {

// Operator's request to roll out another version of a service, under
// orders/<service>. The first driver that reads the request creates the rollout
// record from it; the revision of the request identifies the rollout.
struct RolloutRequest {
  std::string Service;
  std::string ToVersion;
  // Time from the request to the deadline of the rollout.
  std::uint64_t DurationMs = 0;

  bool operator==(const RolloutRequest &) const = default;
};

} // namespace magnolia::settings

#endif
