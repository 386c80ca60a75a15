#ifndef POLICY_LOAD_LOAD_REPORT_H
#define POLICY_LOAD_LOAD_REPORT_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Load of a backend server that its sidecar attaches to every response,
// rejection and probe result.
struct LoadReport {
  std::uint32_t InFlight = 0;
  // Requests that the sidecar lets run at the same time; 0 means unknown.
  std::uint32_t Limit = 0;
  std::uint32_t Waiting = 0;
  // Moving average of the service time; 0 means unknown.
  Duration Latency{0};
  // Time that work takes on its instance now, in percent of the usual; 0 means
  // unknown. Latency is without this factor where it is known.
  std::uint32_t WorkTimePercent = 0;
  // Run of the backend server, so that an entry node sees its restart.
  Incarnation Run = 0;
  bool Draining = false;
  bool ColdStart = false;

  bool operator==(const LoadReport &) const = default;
};

} // namespace magnolia::policy

#endif
