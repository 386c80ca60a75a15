#ifndef STORE_CLIENT_INTERNAL_HTTP_CALL_H
#define STORE_CLIENT_INTERNAL_HTTP_CALL_H

#include "store/client/http_store.h"
#include "store/client/internal/connection_pool.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace magnolia::store::internal {

// State shared by the operations of one client.
struct HttpStoreState {
  HttpStoreOptions Options;
  ConnectionPool Pool;
  std::shared_ptr<CallCounts> Counts = std::make_shared<CallCounts>();
};

// One call to the store.
struct HttpCall {
  CallKind Kind;
  std::string Method;
  std::string Path;
  std::multimap<std::string, std::string> Query;
  std::string Body;
  // True if a lost response leaves the outcome open.
  bool HasEffect = false;
};

// Body of a response with status 200. Every other outcome is mapped to the
// closed list of errors and counted.
[[nodiscard]] std::optional<std::string>
callStore(HttpStoreState &State, const HttpCall &Call,
          std::chrono::milliseconds Timeout, StoreError &LastError);

// Counts a response with status 200 that does not follow the protocol. The
// call itself may have taken effect.
void reportMalformed(HttpStoreState &State, const HttpCall &Call,
                     StoreError &LastError);

} // namespace magnolia::store::internal

#endif
