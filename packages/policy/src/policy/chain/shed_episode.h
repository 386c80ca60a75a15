#ifndef POLICY_CHAIN_SHED_EPISODE_H
#define POLICY_CHAIN_SHED_EPISODE_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Time in which a route loses calls without a break, and what its requests got
// at its start. It shows whether shedding helps: losses that do not come from
// load, for example from one faulty server, stay as they are.
struct ShedEpisode {
  // Unset while there is no episode.
  TimePoint Began{};
  // Requests per second that were admitted, and the part of them that
  // succeeded, once the averages cover the episode; 0 until then.
  double Admitted = 0;
  double Success = 0;
  // Time since which shedding has not helped.
  TimePoint UselessSince{};
};

} // namespace magnolia::policy

#endif
