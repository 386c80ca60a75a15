#ifndef STORE_CLIENT_HTTP_STORE_H
#define STORE_CLIENT_HTTP_STORE_H

#include "store/core/store_operations.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace magnolia::store {

struct HttpStoreOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  // Idle connections kept for reuse.
  std::size_t MaxIdleConnections = 8;
  // A longer response is rejected with TooLarge.
  std::size_t MaxResponseSize = 64UL * 1024 * 1024;
};

// Returns a client of the store over HTTP with JSON bodies (section 2.5 of
// docs/design.md). It opens connections on demand and sends one call at a time
// on each, so that a pending watch does not block other calls.
[[nodiscard]] StoreOperations httpStore(const HttpStoreOptions &Options);

} // namespace magnolia::store

#endif
