#ifndef STORE_CLIENT_INTERNAL_CODEC_H
#define STORE_CLIENT_INTERNAL_CODEC_H

#include "store/core/put_request.h"
#include "store/core/range_result.h"
#include "store/core/watch_result.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::store::internal {

[[nodiscard]] std::string formatPut(const PutRequest &Request);
[[nodiscard]] std::string formatGrant(std::chrono::milliseconds TimeToLive);
[[nodiscard]] std::string formatLease(LeaseId Lease);

// Each is empty if the body does not follow the protocol.
[[nodiscard]] std::optional<Entry> parseEntry(std::string_view Body);
[[nodiscard]] std::optional<RangeResult> parseRange(std::string_view Body);
[[nodiscard]] std::optional<WatchResult> parseWatch(std::string_view Body);
[[nodiscard]] std::optional<Revision> parseRevision(std::string_view Body);
[[nodiscard]] std::optional<LeaseId> parseLease(std::string_view Body);

} // namespace magnolia::store::internal

#endif
