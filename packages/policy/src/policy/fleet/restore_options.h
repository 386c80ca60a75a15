#ifndef POLICY_FLEET_RESTORE_OPTIONS_H
#define POLICY_FLEET_RESTORE_OPTIONS_H

#include "policy/core/types.h"

#include <chrono>

namespace magnolia::policy {

// Delays after the store was restored from a copy.
struct RestoreOptions {
  // Time for operators to write again what the store lost. Until then an absent
  // key counts as lost and not as deleted, so that, for example, an evacuated
  // zone gets no requests. It is the time within which a change has to be in
  // effect everywhere.
  Duration SettleTime = std::chrono::seconds(15);
  // Maximum jitter of the calls that every node, or every watcher, makes, and
  // of their repetition after a failure.
  Duration Jitter = std::chrono::seconds(2);
};

} // namespace magnolia::policy

#endif
