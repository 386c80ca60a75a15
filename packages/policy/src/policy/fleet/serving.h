#ifndef POLICY_FLEET_SERVING_H
#define POLICY_FLEET_SERVING_H

#include "policy/fleet/serving_plan.h"
#include "policy/fleet/serving_query.h"

#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia::policy {

// Members by the service that they run beside; members without one are left
// out. The pointers are valid as long as the span.
[[nodiscard]] std::map<std::string_view, std::vector<const Member *>>
membersByService(std::span<const Member> Members);

// True where the version may serve: both versions of a move in progress, the
// one that remains after its end, and before any move the one that the service
// names. A version that has only been started gets no request.
[[nodiscard]] bool mayServe(std::string_view Version,
                            std::string_view ServiceVersion,
                            const MoveRecord *Move);

// Cost of the way between two members.
[[nodiscard]] Duration distance(const ServingQuery &Query, const Member &Other);

// Plan for the service at a wall-clock time. Suspected members stay: the
// routing reacts to failed requests sooner than the failure detector.
[[nodiscard]] ServingPlan planService(const ServingQuery &Query,
                                      TimePoint WallNow);

} // namespace magnolia::policy

#endif
