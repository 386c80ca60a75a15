#include "policy/chain/chain_headers.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

struct HeaderCase {
  const char *Guards;
  std::string_view Name;
  std::string Value;
  bool Valid;
};

const HeaderCase Cases[] = {
    {"a header name with different case", "magnolia-hops", "3", true},
    {"an unrelated header parsed as a chain header", "Content-Length", "x",
     true},
    {"a negative deadline", DeadlineHeader, "-1", false},
    {"a deadline that overflows", DeadlineHeader, "99999999999999999999",
     false},
    {"a number with trailing characters", HopsHeader, "3x", false},
    {"an empty number", HopsHeader, "", false},
    {"an unknown retry value", RetryHeader, "maybe", false},
    {"a truncated request id", RequestIdHeader, "12-34", false},
    {"an empty key", IdempotencyKeyHeader, "", false},
    {"a key over the maximum length", IdempotencyKeyHeader,
     std::string(256, 'k'), false},
    {"a key with a line break", IdempotencyKeyHeader, "a\r\nb", false},
    {"a valid key", IdempotencyKeyHeader, "order-17", true},
};

TEST(ChainHeaders, Faults) {
  for (const HeaderCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    ChainContext Context;
    Error LastError;
    EXPECT_EQ(parseHeader(Context, Row.Name, Row.Value, LastError), Row.Valid);
    if (!Row.Valid) {
      EXPECT_EQ(LastError.Kind, ErrorKind::BadRequest);
      EXPECT_EQ(Context, ChainContext{});
    }
  }
}

// Guards against a context that changes when it is formatted and parsed again.
TEST(ChainHeaders, RoundTrip) {
  const ChainContext Sent{
      .Remaining = std::chrono::milliseconds(250),
      .Hops = 4,
      .RetriesExhausted = true,
      .Id = RequestId{.Origin = UINT64_MAX, .Run = 2, .Sequence = 3},
      .IdempotencyKey = "k"};
  ChainContext Received;
  Error LastError;
  for (const ChainHeader &Header : formatHeaders(Sent)) {
    EXPECT_TRUE(parseHeader(Received, Header.Name, Header.Value, LastError));
  }
  EXPECT_EQ(Received, Sent);
  const ChainContext Next = nextHop(Received, std::chrono::seconds(1));
  EXPECT_EQ(Next.Hops, 5U);
  EXPECT_EQ(Next.Remaining, Duration{0});
}

} // namespace
} // namespace magnolia::policy
