#ifndef POLICY_CONFIG_PATCH_HISTORY_H
#define POLICY_CONFIG_PATCH_HISTORY_H

#include "policy/config/value_patch.h"

#include <cstddef>
#include <vector>

namespace magnolia::policy {

// Last changes of one key, oldest first. Each patch starts at the revision at
// which the one before ends, and the last one ends at the revision in the
// table.
struct PatchHistory {
  std::vector<ValuePatch> Patches;
  // Sum over the patches.
  std::size_t Bytes = 0;
};

} // namespace magnolia::policy

#endif
