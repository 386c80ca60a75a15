#ifndef SETTINGS_RECORD_STORED_ROLLOUT_H
#define SETTINGS_RECORD_STORED_ROLLOUT_H

#include "policy/rollout/rollout_record.h"

#include <string>

namespace magnolia::settings {

// Rollout as stored under moves/<service>: the record that the policy works on
// and its last writer.
struct StoredRollout {
  policy::RolloutRecord Rollout;
  // Identifies the write, so that a lost response can be resolved. Each step of
  // a rollout has a new one.
  std::string OperationId;
  // Node or operator that wrote the record.
  std::string Driver;

  bool operator==(const StoredRollout &) const = default;
};

} // namespace magnolia::settings

#endif
