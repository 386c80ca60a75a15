#ifndef STORE_CORE_STORE_OPERATIONS_H
#define STORE_CORE_STORE_OPERATIONS_H

#include "store/core/call_counts.h"
#include "store/core/put_request.h"
#include "store/core/range_result.h"
#include "store/core/store_error.h"
#include "store/core/watch_request.h"
#include "store/core/watch_result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace magnolia::store {

// Interface to the key-value store. Every operation may be called from any
// thread and returns within its timeout; it returns an empty result or false on
// failure and sets LastError to the reason. A watch may take its Wait in
// addition.
struct StoreOperations {
  using Milliseconds = std::chrono::milliseconds;

  std::function<std::optional<Entry>(std::string_view Key, Milliseconds Timeout,
                                     StoreError &LastError)>
      Read;
  std::function<std::optional<RangeResult>(
      std::string_view Prefix, Milliseconds Timeout, StoreError &LastError)>
      Range;
  // Returns the new revision of the key.
  std::function<std::optional<Revision>(
      const PutRequest &Request, Milliseconds Timeout, StoreError &LastError)>
      Put;
  // Returns the revision of the deletion.
  std::function<std::optional<Revision>(std::string_view Key, Revision Expected,
                                        Milliseconds Timeout,
                                        StoreError &LastError)>
      Delete;
  std::function<std::optional<WatchResult>(
      const WatchRequest &Request, Milliseconds Timeout, StoreError &LastError)>
      Watch;
  std::function<std::optional<LeaseId>(
      Milliseconds TimeToLive, Milliseconds Timeout, StoreError &LastError)>
      GrantLease;
  std::function<bool(LeaseId Lease, Milliseconds Timeout,
                     StoreError &LastError)>
      KeepLease;
  std::function<bool(LeaseId Lease, Milliseconds Timeout,
                     StoreError &LastError)>
      RevokeLease;
  // Ends calls in progress with Unavailable and fails all later ones, so that
  // a thread in a watch can be joined at once.
  std::function<void()> Close;
  // Returns the highest epoch of the store (see epoch.h) in a response to this
  // client so far. Empty for a store without epochs.
  std::function<std::uint64_t()> NewestEpoch = {};
  std::shared_ptr<const CallCounts> Counts;
};

} // namespace magnolia::store

#endif
