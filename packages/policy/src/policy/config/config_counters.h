#ifndef POLICY_CONFIG_CONFIG_COUNTERS_H
#define POLICY_CONFIG_CONFIG_COUNTERS_H

#include <cstdint>

namespace magnolia::policy {

// Outcomes of applied entries since start.
struct ConfigCounters {
  std::uint64_t Applied = 0;
  // Same revision as held: a repeated push or a repair that came late.
  std::uint64_t Duplicates = 0;
  // Lower revision than held.
  std::uint64_t Stale = 0;
  // Refused because of a bound of ConfigLimits.
  std::uint64_t OverLimit = 0;
};

} // namespace magnolia::policy

#endif
