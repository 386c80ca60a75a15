#ifndef POLICY_FLEET_STORE_READ_H
#define POLICY_FLEET_STORE_READ_H

#include "policy/config/config_entry.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace magnolia::policy {

// Result of a read of all keys of the store at one revision.
struct StoreRead {
  std::vector<ConfigEntry> Entries;
  std::uint64_t Revision = 0;
  // True if operators have had the time to write again what the store lost when
  // it was restored from a copy.
  bool Settled = false;
  // Prefix of the keys that the nodes write again themselves after such a loss.
  std::string_view OwnPrefix = {};
};

} // namespace magnolia::policy

#endif
