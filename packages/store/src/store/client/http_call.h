#ifndef STORE_CLIENT_HTTP_CALL_H
#define STORE_CLIENT_HTTP_CALL_H

#include "store/client/http_store.h"
#include "store/client/internal/connection_pool.h"

#include "store/core/call_counts.h"
#include "store/core/entry.h"
#include "store/core/put_request.h"
#include "store/core/store_error.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace magnolia::store {

// State shared by the operations of one client.
struct HttpStoreState {
  HttpStoreOptions Options;
  internal::ConnectionPool Pool;
  std::shared_ptr<CallCounts> Counts = std::make_shared<CallCounts>();
  // Name of the header that holds the epoch of the store (see epoch.h) in every
  // response. Empty for a store without epochs.
  std::string EpochHeader = {};
  // Highest epoch in a response so far.
  std::atomic<std::uint64_t> NewestEpoch = 0;
};

// Body of a response, and the epoch of the store that sent it.
struct HttpBody {
  std::string Text;
  std::uint64_t Epoch = 0;
};

// One call to the store.
struct HttpCall {
  CallKind Kind;
  std::string Method;
  std::string Path;
  std::multimap<std::string, std::string> Query;
  std::string Body;
  // True if the outcome is unknown after a lost response.
  bool HasEffect = false;
  // Reads the current revision of the key from the response to a failed
  // compare-and-swap; empty if the response does not follow the protocol.
  std::function<std::optional<Revision>(const HttpBody &Body)> ReadConflict =
      {};
};

// Sends the call and returns the body of a response with status 200. Every
// other outcome is mapped to a StoreErrorKind; failures are counted.
[[nodiscard]] std::optional<HttpBody>
callStore(HttpStoreState &State, const HttpCall &Call,
          std::chrono::milliseconds Timeout, StoreError &LastError);

// Counts a response with status 200 that does not follow the protocol. The
// call itself may have taken effect.
void reportMalformed(HttpStoreState &State, const HttpCall &Call,
                     StoreError &LastError);

// Passes the body to a parser that takes the text alone or the epoch as well.
template <typename Parse> auto parseBody(Parse &&Parser, const HttpBody &Body) {
  if constexpr (std::is_invocable_v<Parse, const HttpBody &>) {
    return Parser(Body);
  } else {
    return Parser(std::string_view(Body.Text));
  }
}

// Sends the call and parses the body of its response.
template <typename Parse>
auto callAndParse(HttpStoreState &State, const HttpCall &Call,
                  std::chrono::milliseconds Timeout, StoreError &LastError,
                  Parse &&Parser) -> decltype(parseBody(Parser, HttpBody())) {
  const auto Body = callStore(State, Call, Timeout, LastError);
  if (!Body)
    return std::nullopt;
  auto Parsed = parseBody(Parser, *Body);
  if (!Parsed)
    reportMalformed(State, Call, LastError);
  return Parsed;
}

// Checks the sizes of key and value before a write is sent.
[[nodiscard]] bool isValid(const PutRequest &Request, std::size_t MaxKeySize,
                           StoreError &LastError);

} // namespace magnolia::store

#endif
