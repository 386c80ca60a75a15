#ifndef STORE_CORE_RANGE_RESULT_H
#define STORE_CORE_RANGE_RESULT_H

#include "store/core/entry.h"

#include <vector>

namespace magnolia::store {

struct WatchResult;

// All entries under a prefix at one revision of the store.
struct RangeResult {
  std::vector<Entry> Entries;
  Revision StoreRevision = 0;
};

// Converts the entries to the events of a full read.
[[nodiscard]] WatchResult asWatchResult(RangeResult Range);

} // namespace magnolia::store

#endif
