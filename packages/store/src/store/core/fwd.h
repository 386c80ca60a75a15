#ifndef STORE_CORE_FWD_H
#define STORE_CORE_FWD_H

#include <cstdint>

namespace magnolia::store {

enum class CallKind : std::uint8_t;
enum class StoreErrorKind : std::uint8_t;
struct Entry;
struct PutRequest;
struct RangeResult;
struct StoreError;
struct StoreOperations;
struct WatchEvent;
struct WatchRequest;
struct WatchResult;

} // namespace magnolia::store

#endif
