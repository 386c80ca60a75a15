#ifndef STANDIN_STORE_STORED_ENTRY_H
#define STANDIN_STORE_STORED_ENTRY_H

#include <cstdint>
#include <string>

namespace magnolia::standin {

// Current state of a key, or one change of a key in the history.
struct StoredEntry {
  std::string Key;
  // Base64, as received.
  std::string Value;
  std::uint64_t Revision = 0;
  std::uint64_t Lease = 0;
  bool Deleted = false;
};

} // namespace magnolia::standin

#endif
