#ifndef STORE_CORE_RANGE_RESULT_H
#define STORE_CORE_RANGE_RESULT_H

#include "store/core/entry.h"

#include <vector>

namespace magnolia::store {

// All entries under a prefix at one revision of the store.
struct RangeResult {
  std::vector<Entry> Entries;
  Revision StoreRevision = 0;
};

} // namespace magnolia::store

#endif
