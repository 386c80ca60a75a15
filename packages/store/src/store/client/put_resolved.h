#ifndef STORE_CLIENT_PUT_RESOLVED_H
#define STORE_CLIENT_PUT_RESOLVED_H

#include "store/core/store_operations.h"

namespace magnolia::store {

// Compare-and-swap write whose lost response is resolved by reading back the
// key. The value contains the operation id, which no other write may use.
//
// - this write found: its revision;
// - another write found: Conflict with its revision. If the response was lost,
//   this write may have been in effect before the other one;
// - the expected revision found: the same write is sent again, which is safe
//   because at most one of the attempts can succeed;
// - no response before the timeout: OutcomeUnknown.
//
// Unavailable is returned only if no attempt reached the store.
[[nodiscard]] std::optional<Revision>
putResolved(const StoreOperations &Store, const PutRequest &Request,
            std::string_view OperationId, std::chrono::milliseconds Timeout,
            StoreError &LastError);

} // namespace magnolia::store

#endif
