#include "../support/echo_dialect.h"
#include "../support/sidecar_fixture.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

// Responses that a backend server breaks off.

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;

struct SidecarTruncated : test::SidecarFixture {
  SidecarTruncated() : SidecarFixture(&test::echoDialect()) {}

  CallResponse runNamed(const char *Method) {
    CallRequest Named = request(Method);
    Named.Headers = {{"Request-Id", "r1"}};
    return run(std::move(Named));
  }
};

struct TruncatedRow {
  const char *Failure;
  std::string Head;
  std::string Body;
  // True if the end of the connection completes the body.
  bool EndsWithConnection;
};

// Guards against a response that the backend server breaks off, at any byte,
// and that is passed on as a whole one.
TEST_F(SidecarTruncated, IsNeverPassedOnAsWhole) {
  const TruncatedRow Rows[] = {
      {"a body with a length",
       "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\n", "ok",
       false},
      {"an empty body",
       "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n", "",
       false},
      {"chunks",
       "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       "2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n", false},
      {"an interim response",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: "
       "r1\r\nContent-Length: 2\r\n\r\n",
       "ok", false},
      {"no body by its status", "HTTP/1.1 204 None\r\nRequest-Id: r1\r\n\r\n",
       "", false},
      {"a body without a length", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n",
       "ok", true}};
  for (const TruncatedRow &Row : Rows) {
    const std::string Whole = Row.Head + Row.Body;
    const std::size_t Cuts =
        Row.EndsWithConnection ? Row.Head.size() : Whole.size();
    for (std::size_t Cut = 0; Cut < Cuts; ++Cut) {
      startBackend([&](const std::string &) {
        return Whole.substr(0, Cut) + "[close]";
      });
      for (const char *Method : {"GET", "POST"}) {
        EXPECT_EQ(runNamed(Method).Kind, ErrorKind::BackendBrokenAnswer)
            << Row.Failure << ", " << Method << ", after " << Cut << " bytes";
      }
      EXPECT_EQ(Own.admissionState().InFlight, 0U);
    }
    startBackend([&](const std::string &) { return Whole + "[close]"; });
    EXPECT_EQ(runNamed("GET").Kind, std::nullopt) << Row.Failure;
  }
}

} // namespace
} // namespace magnolia::daemon
