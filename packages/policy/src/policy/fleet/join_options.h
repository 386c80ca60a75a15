#ifndef POLICY_FLEET_JOIN_OPTIONS_H
#define POLICY_FLEET_JOIN_OPTIONS_H

#include "policy/core/types.h"

#include <chrono>

namespace magnolia::policy {

// Times after a start until a node turns to the store. A node that starts
// knows only itself and would take itself for a watcher of its zone; it waits
// for other members first, and longer where there are none, so that the
// restart of a whole zone does not reach the store as one burst.
struct JoinOptions {
  // From the first other member to the watch.
  Duration SettleTime = std::chrono::seconds(1);
  // Until a node without any other member watches alone.
  Duration AloneTime = std::chrono::seconds(3);
  // Random part of the times above, different on each node.
  Duration Spread = std::chrono::seconds(2);
  // Between two reads of the contacts while no other member is known.
  Duration ContactReadPeriod = std::chrono::seconds(3);
  // Between two checks of the own contact record by a watcher.
  Duration ContactWritePeriod = std::chrono::seconds(30);
  // First and longest pause after failed calls to the store.
  Duration FirstBackoff = std::chrono::milliseconds(200);
  Duration LongestBackoff = std::chrono::seconds(2);
};

} // namespace magnolia::policy

#endif
