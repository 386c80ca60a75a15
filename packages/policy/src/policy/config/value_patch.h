#ifndef POLICY_CONFIG_VALUE_PATCH_H
#define POLICY_CONFIG_VALUE_PATCH_H

#include "policy/config/patch_step.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::policy {

// Change of a key's value from one revision to a later one, line by line. The
// revisions need not be adjacent.
struct ValuePatch {
  std::string Key;
  std::uint64_t BaseRevision = 0;
  std::uint64_t Revision = 0;
  // Size of the resulting value.
  std::size_t Bytes = 0;
  // Hash of the resulting value. It also guards against a base that differs
  // under the same revision.
  std::uint64_t Digest = 0;
  std::vector<PatchStep> Steps;

  bool operator==(const ValuePatch &) const = default;
};

} // namespace magnolia::policy

#endif
