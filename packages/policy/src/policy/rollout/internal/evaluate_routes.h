#ifndef POLICY_ROLLOUT_INTERNAL_EVALUATE_ROUTES_H
#define POLICY_ROLLOUT_INTERNAL_EVALUATE_ROUTES_H

#include "policy/core/types.h"
#include "policy/rollout/combined_ring.h"
#include "policy/rollout/response_ring.h"
#include "policy/rollout/verdict.h"

#include <string_view>

namespace magnolia::policy::internal {

// Returns the verdict on one route from its last seconds. Slow responses count
// only if they are spread over a minimum time.
[[nodiscard]] Verdict evaluateRoute(const ResponseRing &Ring,
                                    std::string_view Route, TimePoint Now);

// Returns true if the route has too few responses for a verdict of its own.
[[nodiscard]] bool hasFewResponses(const ResponseRing &Ring, TimePoint Now);

// Returns the verdict on all routes combined, for versions that receive too few
// requests on each single route.
[[nodiscard]] Verdict evaluateAllRoutes(const CombinedRing &All, TimePoint Now);

} // namespace magnolia::policy::internal

#endif
