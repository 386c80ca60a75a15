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

// Maximum length of an idempotency key in bytes.
inline constexpr std::size_t MaxIdempotencyKey = 255;

// Parses one header into the context; headers that do not belong to the call
// chain are ignored. If the value is malformed, returns false and sets
// LastError to BadRequest.
[[nodiscard]] bool parseHeader(ChainContext &Context, std::string_view Name,
                               std::string_view Value, Error &LastError);

// Returns the headers of the context in the order of its fields.
[[nodiscard]] std::vector<ChainHeader> formatHeaders(const ChainContext &);

// Returns the context for the next hop after Elapsed: one more hop and less
// time left.
[[nodiscard]] ChainContext nextHop(const ChainContext &Context,
                                   Duration Elapsed);

// Converts a request id to and from text: origin, incarnation and sequence
// number in hexadecimal.
[[nodiscard]] std::string formatRequestId(const RequestId &Id);
[[nodiscard]] std::optional<RequestId> parseRequestId(std::string_view Text);

} // namespace magnolia::policy

#endif
