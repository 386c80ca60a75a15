#ifndef STORE_CORE_PUT_REQUEST_H
#define STORE_CORE_PUT_REQUEST_H

#include "store/core/entry.h"

namespace magnolia::store {

// Compare-and-swap write of one key.
struct PutRequest {
  std::string Key;
  std::string Value;
  // Revision the key must have; 0 means that it must not exist.
  Revision Expected = 0;
  // The store deletes the entry when this lease ends; 0 means no lease.
  LeaseId Lease = 0;
};

} // namespace magnolia::store

#endif
