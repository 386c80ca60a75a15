#ifndef POLICY_CHAIN_COUNT_RUNS_H
#define POLICY_CHAIN_COUNT_RUNS_H

#include "policy/chain/route_loss_window.h"
#include "policy/core/error_kind.h"

#include <optional>
#include <string_view>

namespace magnolia::policy {

// Result of a nested call as its entry node sees it.
struct NestedResult {
  // Set if the system responded with an error.
  std::optional<ErrorKind> Kind;
  // Status of the backend server otherwise.
  std::uint16_t Status = 0;
  // Losses of the route of the nested call, as its sidecar reported them.
  std::uint32_t RouteLosses = 0;
};

// Returns whether the parent lost the nested call to a rejection. In a longer
// chain a nested call also fails because a call of its own was rejected; its
// sidecar has counted that loss.
[[nodiscard]] bool isLost(const NestedResult &Ended);

// Records the end of a run. Lost is true if the run failed after it had lost a
// nested call. An empty route is not counted.
void countRun(RouteLossWindow &Window, std::string_view Route, bool Lost,
              TimePoint Now);

// Returns the counts of the last second; zeros for an unknown route.
[[nodiscard]] RouteCounts countsOf(const RouteLossWindow &Window,
                                   std::string_view Route, TimePoint Now);

} // namespace magnolia::policy

#endif
