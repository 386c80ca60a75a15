#ifndef SETTINGS_RECORD_STORED_MOVE_H
#define SETTINGS_RECORD_STORED_MOVE_H

#include "policy/move/move_record.h"

#include <string>

namespace magnolia::settings {

// A move as stored under moves/<service>: the record that the policy works on
// and who wrote it last.
struct StoredMove {
  policy::MoveRecord Move;
  // Identifies the write, so that a lost response can be resolved. Each step
  // of a move has a new one.
  std::string OperationId;
  // Node or operator that wrote the record.
  std::string Driver;

  bool operator==(const StoredMove &) const = default;
};

} // namespace magnolia::settings

#endif
