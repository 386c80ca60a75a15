#ifndef POLICY_ROLLOUT_COMBINED_RING_H
#define POLICY_ROLLOUT_COMBINED_RING_H

#include "policy/rollout/response_ring.h"

namespace magnolia::policy {

// Responses on all routes over the last seconds, kept as sums so that their
// evaluation does not depend on the number of routes.
struct CombinedRing {
  // Responses on routes on which the new version had responses in the same
  // window: a random mix of fast and slow routes would look like a difference.
  ResponseRing Paired;
  // All responses.
  ResponseRing Every;
};

} // namespace magnolia::policy

#endif
