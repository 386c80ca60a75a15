#ifndef POLICY_ROUTE_CHOOSE_H
#define POLICY_ROUTE_CHOOSE_H

#include "policy/core/error.h"
#include "policy/route/route_query.h"
#include "policy/route/route_state.h"

#include <optional>
#include <span>
#include <vector>

namespace magnolia::policy {

// Chooses the candidate with the lowest expected time to a response. Without
// an eligible candidate it returns nothing and sets LastError to ZoneOut,
// Draining or NoBackendServer. Call onDispatch before the request is sent.
[[nodiscard]] std::optional<NodeId> choose(RouteState &State,
                                           const RouteQuery &Query,
                                           TimePoint Now, RandomEngine &Random,
                                           Error &LastError);

// Shares for another attempt of a request: all of it to the version with the
// largest one. Drawing again for each attempt would raise the share of a small
// version with every server of the large one that is full.
[[nodiscard]] std::vector<VersionShare>
sharesForRetry(std::span<const VersionShare> Shares);

// True where a candidate that is neither chosen, excluded nor ejected is left:
// a server that would rather pass the request on may do so. Without it a
// request that every server passes on would end rejected with servers free.
[[nodiscard]] bool hasChoice(const RouteState &State, const RouteQuery &Query,
                             NodeId Chosen);

} // namespace magnolia::policy

#endif
