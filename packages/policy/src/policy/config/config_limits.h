#ifndef POLICY_CONFIG_CONFIG_LIMITS_H
#define POLICY_CONFIG_CONFIG_LIMITS_H

#include <cstddef>

namespace magnolia::policy {

// Limits of a configuration table.
struct ConfigLimits {
  std::size_t MaxKeyBytes = 256;
  // The store holds values of at most 1 MiB; the translation of a value may be
  // larger than the value.
  std::size_t MaxValueBytes = std::size_t{2} << 20;
  // Tombstones count as entries.
  std::size_t MaxEntries = 16'384;
  // Sum over keys and values.
  std::size_t MaxBytes = std::size_t{64} << 20;
};

} // namespace magnolia::policy

#endif
