#ifndef POLICY_FLEET_SERVING_H
#define POLICY_FLEET_SERVING_H

#include "policy/fleet/serving_plan.h"
#include "policy/fleet/serving_query.h"

#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia::policy {

// Groups the members by the service of their local backend server and leaves
// out members without one. The pointers are valid as long as the span.
[[nodiscard]] std::map<std::string_view, std::vector<const Member *>>
membersByService(std::span<const Member> Members);

// Returns true if the version may serve: both versions of a rollout in
// progress, the remaining version after its end, and before any rollout the
// version that the service names. A version that has only been started receives
// no requests.
[[nodiscard]] bool mayServe(std::string_view Version,
                            std::string_view ServiceVersion,
                            const RolloutRecord *Rollout);

// Returns the round-trip cost of a request from this node to the member.
[[nodiscard]] Duration distance(const ServingQuery &Query, const Member &Other);

// Returns the plan for the service at a wall-clock time. Suspect members are
// included, because the routing reacts to failed requests sooner than the
// failure detector.
[[nodiscard]] ServingPlan planService(const ServingQuery &Query,
                                      TimePoint WallNow);

} // namespace magnolia::policy

#endif
