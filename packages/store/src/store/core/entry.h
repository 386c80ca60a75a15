#ifndef STORE_CORE_ENTRY_H
#define STORE_CORE_ENTRY_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace magnolia::store {

// Position in the history of the whole store; each write takes the next one.
// 0 stands for a key that does not exist. The upper bits hold the epoch of a
// store that may be restored from a copy (see policy/core/epoch.h).
using Revision = std::uint64_t;

// Identity of a lease granted by the store. 0 means no lease.
using LeaseId = std::uint64_t;

// Largest value in bytes, as the store's documentation states it.
inline constexpr std::size_t MaxValueSize = 1024UL * 1024;

// One key with its value and the revision of its last write.
struct Entry {
  std::string Key;
  std::string Value;
  Revision ModRevision = 0;
  LeaseId Lease = 0;

  bool operator==(const Entry &) const = default;
};

} // namespace magnolia::store

#endif
