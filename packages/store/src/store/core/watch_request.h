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
  // Restricts the watch to writes by operators. A store that cannot distinguish
  // them reports every change.
  bool OperatorOnly = false;
  // The store responds at once if there are changes, otherwise with an empty
  // list after this time.
  std::chrono::milliseconds Wait{0};
};

} // namespace magnolia::store

#endif
