#ifndef POLICY_FLEET_STORE_READ_H
#define POLICY_FLEET_STORE_READ_H

#include "policy/config/config_entry.h"

#include <cstdint>
#include <vector>

namespace magnolia::policy {

// Result of a read of all keys of the store at one revision.
struct StoreRead {
  std::vector<ConfigEntry> Entries;
  std::uint64_t Revision = 0;
};

} // namespace magnolia::policy

#endif
