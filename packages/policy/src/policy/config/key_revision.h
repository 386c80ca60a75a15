#ifndef POLICY_CONFIG_KEY_REVISION_H
#define POLICY_CONFIG_KEY_REVISION_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace magnolia::policy {

// Revision of a key in the table of a node. Tombstones are included.
struct KeyRevision {
  std::string Key;
  std::uint64_t Revision = 0;
  // Size of the value; 0 if it is not known.
  std::size_t Bytes = 0;
};

} // namespace magnolia::policy

#endif
