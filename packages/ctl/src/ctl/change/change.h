#ifndef CTL_CHANGE_CHANGE_H
#define CTL_CHANGE_CHANGE_H

#include "store/core/entry.h"

#include <optional>
#include <string>

namespace magnolia::ctl {

// Write of one key, conditional on the entry that the command has read.
struct Change {
  std::string Key;
  // Empty if the key did not exist.
  std::optional<store::Entry> Before;
  std::string Value;
  std::string OperationId;
  // False if the command resolves a conflict itself.
  bool ReportConflict = true;
};

} // namespace magnolia::ctl

#endif
