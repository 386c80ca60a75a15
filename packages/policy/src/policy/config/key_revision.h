#ifndef POLICY_CONFIG_KEY_REVISION_H
#define POLICY_CONFIG_KEY_REVISION_H

#include <cstdint>
#include <string>

namespace magnolia::policy {

// Revision of a key in the table of a node. Tombstones are included.
struct KeyRevision {
  std::string Key;
  std::uint64_t Revision = 0;
};

} // namespace magnolia::policy

#endif
