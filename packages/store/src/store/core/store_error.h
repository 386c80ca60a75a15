#ifndef STORE_CORE_STORE_ERROR_H
#define STORE_CORE_STORE_ERROR_H

#include "store/core/entry.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::store {

// All reasons for which a store call fails.
enum class StoreErrorKind : std::uint8_t {
  // The store could not be reached or reported that it is down. The call had
  // no effect.
  Unavailable,
  // No complete response before the deadline of a call without an effect.
  Timeout,
  // The key has another revision than expected. The call had no effect.
  Conflict,
  NotFound,
  LeaseExpired,
  // The value, or the response, is larger than the limit.
  TooLarge,
  // The response, or a request of the caller, does not follow the protocol.
  Malformed,
  // The response of a call with an effect was lost: it may have taken effect
  // and may still do so.
  OutcomeUnknown,
};

// Reason of the last failed store call: its kind and a message.
struct StoreError {
  StoreErrorKind Kind = StoreErrorKind::Unavailable;
  std::string Detail;
  // With Conflict: the revision of the key in the store, 0 for no entry or if
  // the call was not sent.
  Revision Current = 0;
};

[[nodiscard]] std::string_view toString(StoreErrorKind Kind);

} // namespace magnolia::store

#endif
