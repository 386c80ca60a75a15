#ifndef POLICY_ROUTE_CANDIDATE_SPEC_H
#define POLICY_ROUTE_CANDIDATE_SPEC_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Data about one candidate from membership and configuration. Zones and
// versions are interned by the caller.
struct CandidateSpec {
  NodeId Node = 0;
  // Incarnation of the sidecar; a change resets all measurements.
  Incarnation Run = 0;
  std::uint32_t Zone = 0;
  std::uint32_t Version = 0;
  // Network round-trip time to the zone of the candidate.
  Duration Distance{0};
  bool ZoneOut = false;
  bool Draining = false;
};

} // namespace magnolia::policy

#endif
