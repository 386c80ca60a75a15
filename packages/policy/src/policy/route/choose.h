#ifndef POLICY_ROUTE_CHOOSE_H
#define POLICY_ROUTE_CHOOSE_H

#include "policy/core/error.h"
#include "policy/route/route_query.h"
#include "policy/route/route_state.h"

#include <optional>
#include <span>
#include <vector>

namespace magnolia::policy {

// Chooses the candidate with the lowest expected time to a response. If no
// candidate is eligible, returns nullopt and sets LastError to ZoneOut,
// Draining or NoBackendServer. The caller calls onDispatch before it sends the
// request.
[[nodiscard]] std::optional<NodeId> choose(RouteState &State,
                                           const RouteQuery &Query,
                                           TimePoint Now, RandomEngine &Random,
                                           Error &LastError);

// Returns the shares for a further attempt of a request, which all go to the
// version with the largest share. If each attempt drew a version again, a
// version with a small share would receive more requests whenever servers of
// the other version are full.
[[nodiscard]] std::vector<VersionShare>
sharesForRetry(std::span<const VersionShare> Shares);

// Returns true if there is another candidate that is neither excluded nor
// ejected. Only then may a slow server reject the request, since a request that
// every server rejects as slow would fail while servers are free.
[[nodiscard]] bool hasChoice(const RouteState &State, const RouteQuery &Query,
                             NodeId Chosen);

} // namespace magnolia::policy

#endif
