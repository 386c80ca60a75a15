#ifndef POLICY_CONFIG_FETCH_H
#define POLICY_CONFIG_FETCH_H

#include "policy/config/announcement.h"
#include "policy/config/config_table.h"
#include "policy/config/fetch_call.h"
#include "policy/config/fetch_outcome.h"
#include "policy/config/fetch_state.h"
#include "policy/core/types.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace magnolia::policy {

// Remembers that the node holds the revision, if that is higher than the one in
// the table.
void learn(FetchState &State, const ConfigTable &Table,
           const Announcement &Heard, TimePoint Now);

// Returns the fetches to start now: for each key without one in flight, from a
// random one of the live nodes that announced the highest revision. Forgets
// keys that the table holds meanwhile. A newer announcement does not end a
// fetch in flight, so that changes in quick succession cannot prevent each
// fetch from arriving; the next one then transfers only the difference.
[[nodiscard]] std::vector<FetchCall>
takeFetches(FetchState &State, const ConfigTable &Table,
            const std::function<bool(NodeId)> &IsLive, TimePoint Now,
            RandomEngine &Random);

// Ends a fetch after its response was applied to the table. RetryAfter is the
// time that the node told with Postponed. Responses to a fetch that is not in
// flight any more are ignored.
void endFetch(FetchState &State, const ConfigTable &Table,
              const FetchCall &Call, FetchOutcome Outcome, Duration RetryAfter,
              TimePoint Now);

// Returns the forwarding rounds left for the value of the key.
[[nodiscard]] std::uint32_t roundsOf(const FetchState &State,
                                     std::string_view Key);

// Returns true if a higher revision of the key is known than the one in the
// table.
[[nodiscard]] bool isOutdated(const FetchState &State, const ConfigTable &Table,
                              std::string_view Key);

} // namespace magnolia::policy

#endif
