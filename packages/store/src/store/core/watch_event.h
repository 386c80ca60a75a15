#ifndef STORE_CORE_WATCH_EVENT_H
#define STORE_CORE_WATCH_EVENT_H

#include "store/core/entry.h"

namespace magnolia::store {

// One change of a key: a new value or a deletion.
struct WatchEvent {
  std::string Key;
  std::string Value;
  Revision ModRevision = 0;
  bool Deleted = false;

  bool operator==(const WatchEvent &) const = default;
};

} // namespace magnolia::store

#endif
