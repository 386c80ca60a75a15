#ifndef POLICY_CONFIG_CONFIG_DIFF_H
#define POLICY_CONFIG_CONFIG_DIFF_H

#include "policy/config/config_entry.h"
#include "policy/config/key_revision.h"

#include <string>
#include <vector>

namespace magnolia::policy {

// Result of comparing a table with the revisions that another node holds.
struct ConfigDiff {
  // Entries that the other node lacks or holds at a lower revision.
  std::vector<ConfigEntry> Newer;
  // Large values that the other node lacks or holds at a lower revision, if
  // they are announced.
  std::vector<KeyRevision> Notices;
  // Keys that the other node holds at a higher revision.
  std::vector<std::string> Wanted;
  // True if Newer was truncated at the byte limit; another exchange transfers
  // the rest.
  bool More = false;
};

} // namespace magnolia::policy

#endif
