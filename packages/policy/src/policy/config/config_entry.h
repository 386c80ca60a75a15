#ifndef POLICY_CONFIG_CONFIG_ENTRY_H
#define POLICY_CONFIG_CONFIG_ENTRY_H

#include <cstdint>
#include <string>

namespace magnolia::policy {

// One key of the operators' configuration as stored in the store. Revisions
// come from the store: they increase over all keys, also across a restoration
// of the store from a copy (see epoch.h), so a later write of a key always has
// a higher revision than an earlier one.
struct ConfigEntry {
  std::string Key;
  std::uint64_t Revision = 0;
  std::string Value;
  // True if the key was deleted at this revision; Value is then empty.
  bool Tombstone = false;
};

} // namespace magnolia::policy

#endif
