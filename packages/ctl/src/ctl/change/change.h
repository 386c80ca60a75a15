#ifndef CTL_CHANGE_CHANGE_H
#define CTL_CHANGE_CHANGE_H

#include "store/core/entry.h"

#include <optional>
#include <string>

namespace magnolia::ctl {

// Write of one key, on top of the entry that the operator's command saw.
struct Change {
  std::string Key;
  // Empty where the key did not exist.
  std::optional<store::Entry> Before;
  std::string Value;
  std::string OperationId;
  // False where the command resolves a conflict itself.
  bool ReportConflict = true;
};

} // namespace magnolia::ctl

#endif
