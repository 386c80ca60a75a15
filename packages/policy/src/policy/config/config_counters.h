#ifndef POLICY_CONFIG_CONFIG_COUNTERS_H
#define POLICY_CONFIG_CONFIG_COUNTERS_H

#include <cstdint>

namespace magnolia::policy {

// Outcomes of applied entries since start.
struct ConfigCounters {
  std::uint64_t Applied = 0;
  // Same revision as in the table: a repeated push or a late repair.
  std::uint64_t Duplicates = 0;
  // Lower revision than in the table.
  std::uint64_t Stale = 0;
  // Rejected because of a limit in ConfigLimits.
  std::uint64_t OverLimit = 0;
};

} // namespace magnolia::policy

#endif
