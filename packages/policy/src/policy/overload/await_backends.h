#ifndef POLICY_OVERLOAD_AWAIT_BACKENDS_H
#define POLICY_OVERLOAD_AWAIT_BACKENDS_H

#include "policy/core/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace magnolia::policy {

// Request at an entry node that may know no backend server of its service yet.
struct UnservedRequest {
  TimePoint Deadline{};
  // Time by which the route aims to respond; unset if it states none.
  std::optional<TimePoint> Objective;
  // Backend servers of the service that the node knows, whether they are
  // eligible or not.
  std::size_t KnownServers = 0;
  bool WorkloadAware = false;
  // True if the node is stopping.
  bool NodeStops = false;
};

// Requests of one entry node that wait for a backend server to become known.
struct BackendWaits {
  // Time at which the node started.
  TimePoint NodeStart{};
  std::uint32_t Waiting = 0;
};

// What has changed for a waiting request.
struct WaitProgress {
  TimePoint Until{};
  std::size_t KnownServers = 0;
  bool CallerGone = false;
  bool NodeStops = false;
};

enum class WaitStep : std::uint8_t {
  Continue,
  // A backend server is known: the request is forwarded.
  Forward,
  // No backend server became known in time: the request is rejected.
  Expire,
  // The caller has closed its connection.
  Cancel,
  // The node stops: the request is rejected.
  Stop,
};

// True while the node may not have learnt of all backend servers yet.
[[nodiscard]] bool isStarting(TimePoint NodeStart, TimePoint Now);

// Returns the time until which the request waits, and counts it as waiting
// until endWait. Returns nothing if it does not wait.
[[nodiscard]] std::optional<TimePoint>
beginWait(BackendWaits &State, const UnservedRequest &Request, TimePoint Now);

void endWait(BackendWaits &State);

// Returns the time at which a waiting request looks for backend servers again.
[[nodiscard]] TimePoint nextCheck(TimePoint Until, TimePoint Now);

[[nodiscard]] WaitStep nextStep(const WaitProgress &Progress, TimePoint Now);

} // namespace magnolia::policy

#endif
