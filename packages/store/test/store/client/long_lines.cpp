#include "store/client/http_store.h"

#include "support/raw_store.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace magnolia::store {
namespace {

constexpr std::chrono::milliseconds Timeout{5000};
constexpr std::size_t LongBytes = 1'000'000;

struct LongRow {
  const char *Failure;
  std::string Bytes;
};

// Guards against a response of the store with a line of unbounded length that
// ends the process or fills its memory.
TEST(LongLines, EndTheCall) {
  const std::string Long(LongBytes, 'x');
  const LongRow Rows[] = {
      {"a status line", "HTTP/1.1 200 " + Long + "\r\n\r\n"},
      {"a header", "HTTP/1.1 200 OK\r\nA: " + Long + "\r\n\r\n"},
      {"the extension of a chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + Long +
           "\r\nx\r\n0\r\n\r\n"},
      {"a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                    "A: " +
                        Long + "\r\n\r\n"},
      {"a response without an end of line", Long}};
  for (const LongRow &Row : Rows) {
    const test::RawStore Server({{.Bytes = Row.Bytes}});
    const StoreOperations Store = httpStore({.Port = Server.port()});
    StoreError LastError;
    EXPECT_FALSE(Store.Read("k", Timeout, LastError)) << Row.Failure;
    EXPECT_EQ(LastError.Kind, StoreErrorKind::Unavailable)
        << Row.Failure << ": " << LastError.Detail;
    Store.Close();
  }
}

} // namespace
} // namespace magnolia::store
