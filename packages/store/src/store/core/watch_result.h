#ifndef STORE_CORE_WATCH_RESULT_H
#define STORE_CORE_WATCH_RESULT_H

#include "store/core/watch_event.h"

#include <vector>

namespace magnolia::store {

// Changes in the order of their revisions, or a full range.
struct WatchResult {
  std::vector<WatchEvent> Events;
  // Pass this as After of the next watch.
  Revision StoreRevision = 0;
  // The store no longer has the history after the requested revision: Events
  // holds every existing entry under the prefix, and a key that is absent has
  // been deleted.
  bool Full = false;
};

} // namespace magnolia::store

#endif
