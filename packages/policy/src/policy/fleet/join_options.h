#ifndef POLICY_FLEET_JOIN_OPTIONS_H
#define POLICY_FLEET_JOIN_OPTIONS_H

#include "policy/core/types.h"

#include <chrono>

namespace magnolia::policy {

// Delays after a start until a node uses the store. A starting node knows only
// itself and would consider itself a watcher of its zone. It first waits for
// other members, and longer if there are none, so that the restart of a whole
// zone does not cause a burst of reads from the store.
struct JoinOptions {
  // Time from the first other member to the watch.
  Duration SettleTime = std::chrono::seconds(1);
  // Time after which a node that knows no other member starts its watch.
  Duration AloneTime = std::chrono::seconds(3);
  // Maximum jitter of AloneTime and of the first read of the contacts.
  Duration Jitter = std::chrono::seconds(2);
  // Interval between reads of the contacts while no other member is known.
  Duration ContactReadPeriod = std::chrono::seconds(3);
  // Interval at which a watcher checks its contact record.
  Duration ContactWritePeriod = std::chrono::seconds(30);
  // Upper bound of the first and of the longest delay after failed calls to the
  // store. A change that the store acknowledges right after it has returned
  // must be in effect within 2 s, so the longest delay leaves half of that.
  Duration FirstBackoff = std::chrono::milliseconds(200);
  Duration LongestBackoff = std::chrono::seconds(1);
};

} // namespace magnolia::policy

#endif
