#ifndef POLICY_CONFIG_CONFIG_LIMITS_H
#define POLICY_CONFIG_CONFIG_LIMITS_H

#include <cstddef>

namespace magnolia::policy {

// Limits of a configuration table.
struct ConfigLimits {
  std::size_t MaxKeyBytes = 256;
  // The store holds values of at most 1 MiB; the translation of a value may be
  // larger than the value.
  std::size_t MaxValueBytes = std::size_t{3} << 20;
  // Tombstones count as entries.
  std::size_t MaxEntries = 16'384;
  // Sum over keys and values.
  std::size_t MaxBytes = std::size_t{64} << 20;
  // Patches kept for one key, and their bytes.
  std::size_t MaxPatches = 16;
  std::size_t MaxKeyHistoryBytes = std::size_t{128} << 10;
  // Bytes of the patches of all keys.
  std::size_t MaxHistoryBytes = std::size_t{4} << 20;
};

} // namespace magnolia::policy

#endif
