#include "store/core/range_result.h"

#include "store/core/watch_result.h"

#include <utility>

namespace magnolia::store {

WatchResult asWatchResult(RangeResult Range) {
  WatchResult Result = {
      .Events = {}, .StoreRevision = Range.StoreRevision, .Full = true};
  for (Entry &Next : Range.Entries) {
    Result.Events.push_back({.Key = std::move(Next.Key),
                             .Value = std::move(Next.Value),
                             .ModRevision = Next.ModRevision,
                             .Deleted = false});
  }
  return Result;
}

} // namespace magnolia::store
