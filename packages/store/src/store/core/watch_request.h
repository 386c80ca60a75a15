#ifndef STORE_CORE_WATCH_REQUEST_H
#define STORE_CORE_WATCH_REQUEST_H

#include "store/core/entry.h"

#include <chrono>

namespace magnolia::store {

// Long poll for the changes of all keys under a prefix.
struct WatchRequest {
  std::string Prefix;
  // Changes up to this revision are known to the caller.
  Revision After = 0;
  // Only what operators write is wanted. A store that cannot tell it apart
  // shows everything.
  bool OperatorOnly = false;
  // The store responds at once when there are changes, and without any after
  // this time.
  std::chrono::milliseconds Wait{0};
};

} // namespace magnolia::store

#endif
