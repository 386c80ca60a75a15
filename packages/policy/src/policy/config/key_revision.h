#ifndef POLICY_CONFIG_KEY_REVISION_H
#define POLICY_CONFIG_KEY_REVISION_H

#include <cstdint>
#include <string>

namespace magnolia::policy {

// Revision at which a node holds a key; tombstones are listed like values.
struct KeyRevision {
  std::string Key;
  std::uint64_t Revision = 0;
};

} // namespace magnolia::policy

#endif
