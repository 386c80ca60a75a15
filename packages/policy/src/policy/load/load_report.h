#ifndef POLICY_LOAD_LOAD_REPORT_H
#define POLICY_LOAD_LOAD_REPORT_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Load of a backend server that its sidecar attaches to every response,
// rejection and probe result.
struct LoadReport {
  std::uint32_t InFlight = 0;
  // Number of concurrent requests that the sidecar admits; 0 means unknown.
  std::uint32_t Limit = 0;
  std::uint32_t Waiting = 0;
  // Moving average of the service time; 0 means unknown.
  Duration Latency{0};
  // Current processing time on the instance of the backend server in percent of
  // the usual time; 0 means unknown. If it is known, Latency is normalised to
  // the usual time.
  std::uint32_t WorkTimePercent = 0;
  // Bytes of request bodies that the node received in the last second, in
  // percent of the capacity of its link; 0 if the capacity is unknown.
  std::uint32_t LinkUsePercent = 0;
  // Incarnation of the backend server, so that an entry node detects its
  // restart.
  Incarnation Run = 0;
  bool Draining = false;
  bool ColdStart = false;

  bool operator==(const LoadReport &) const = default;
};

} // namespace magnolia::policy

#endif
