#ifndef POLICY_CHAIN_CHAIN_HEADERS_H
#define POLICY_CHAIN_CHAIN_HEADERS_H

#include "policy/chain/chain_context.h"
#include "policy/core/error.h"

#include <string_view>
#include <vector>

namespace magnolia::policy {

inline constexpr std::string_view DeadlineHeader = "Magnolia-Deadline-Ms";
inline constexpr std::string_view HopsHeader = "Magnolia-Hops";
inline constexpr std::string_view RetryHeader = "Magnolia-Retry";
inline constexpr std::string_view RequestIdHeader = "Magnolia-Request-Id";
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view RetryExhausted = "exhausted";

// Longest idempotency key in bytes.
inline constexpr std::size_t MaxIdempotencyKey = 255;

// Reads one header into the context; other headers than those of the call
// chain are ignored. False with a BadRequest in LastError for a malformed
// value.
[[nodiscard]] bool parseHeader(ChainContext &Context, std::string_view Name,
                               std::string_view Value, Error &LastError);

// Headers of the context, in the order of the fields.
[[nodiscard]] std::vector<ChainHeader> formatHeaders(const ChainContext &);

// Context of the request that is passed on after Elapsed: one hop more and
// less time left.
[[nodiscard]] ChainContext nextHop(const ChainContext &Context,
                                   Duration Elapsed);

// Text of a request id: origin, run and sequence in hexadecimal.
[[nodiscard]] std::string formatRequestId(const RequestId &Id);
[[nodiscard]] std::optional<RequestId> parseRequestId(std::string_view Text);

} // namespace magnolia::policy

#endif
