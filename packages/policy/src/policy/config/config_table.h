#ifndef POLICY_CONFIG_CONFIG_TABLE_H
#define POLICY_CONFIG_CONFIG_TABLE_H

#include "policy/config/config_counters.h"
#include "policy/config/config_digest.h"
#include "policy/config/config_entry.h"
#include "policy/config/config_limits.h"
#include "policy/config/patch_history.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace magnolia::policy {

// Configuration in effect on one node. Change it with apply() only.
struct ConfigTable {
  ConfigLimits Limits;
  std::map<std::string, ConfigEntry, std::less<>> Entries;
  // Sum over keys and values.
  std::size_t Bytes = 0;
  // Last changes of the large values.
  std::map<std::string, PatchHistory, std::less<>> Histories;
  // Sum over the patches of the histories.
  std::size_t HistoryBytes = 0;
  // Highest revision applied, from which a watch of the store resumes.
  std::uint64_t HighestRevision = 0;
  // Updated incrementally by apply(), so that it need not be computed on
  // reading.
  ConfigDigest Digest;
  ConfigCounters Counters;
};

} // namespace magnolia::policy

#endif
