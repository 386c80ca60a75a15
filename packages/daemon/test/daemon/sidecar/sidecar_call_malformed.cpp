#include "../support/echo_dialect.h"
#include "../support/sidecar_fixture.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>

// Responses of a backend server in trouble whose head is no head of a response.

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;

struct SidecarMalformed : test::SidecarFixture {
  SidecarMalformed() : SidecarFixture(&test::echoDialect()) {}

  CallRequest requestWithId(const char *Method) {
    CallRequest Made = request(Method);
    Made.Headers = {{"Request-Id", "r1"}};
    return Made;
  }

  // Runs a request of each kind. Returns true if both end at once, without a
  // response and without their slot, and leave no connection to reuse.
  bool isRefused(const std::string &Raw) {
    bool Refused = true;
    for (const char *Method : {"GET", "POST"}) {
      startBackend([&Raw](const std::string &) { return Raw; });
      const CallResponse Response = run(requestWithId(Method));
      bool ClosedEarly = false;
      Refused =
          Refused && Response.Kind == ErrorKind::BackendBrokenAnswer &&
          Response.Body.empty() && Own.admissionState().InFlight == 0 &&
          !Own.pool().takeIdle(now(), policy::Duration::max(), ClosedEarly);
    }
    return Refused;
  }
};

std::string withStatus(std::string_view Status, const std::string &Rest) {
  return "HTTP/1.1 " + std::string(Status) + " X\r\nRequest-Id: r1\r\n" + Rest;
}

// Guards against a response without a status that HTTP defines, which is passed
// on, or awaited to the deadline as if another one followed.
TEST_F(SidecarMalformed, StatusTable) {
  const std::string Whole = "Content-Length: 2\r\n\r\nok";
  for (const char *Status :
       {"000", "001", "042", "099", "101", "600", "700", "999", "20", "2000",
        "+20", "-20", "0x2", "2 0", "2", "20a", ""}) {
    for (const std::string &Rest :
         {Whole, std::string("Content-Length: 0\r\n\r\n"),
          std::string("\r\nok[close]"), std::string("\r\n"),
          std::string("Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
          Whole + withStatus("200", Whole)}) {
      EXPECT_TRUE(isRefused(withStatus(Status, Rest)))
          << '"' << Status << "\" before " << Rest;
    }
    EXPECT_TRUE(
        isRefused("HTTP/1.1 100 Continue\r\n\r\n" + withStatus(Status, Whole)))
        << '"' << Status << "\" after an interim response";
  }
}

// Guards against statuses that are refused with the undefined ones.
TEST_F(SidecarMalformed, UsualStatusesArePassedOn) {
  for (const char *Status : {"200", "204", "304", "418", "500", "599"}) {
    const std::string Answer = withStatus(Status, "Content-Length: 0\r\n\r\n");
    for (const std::string &Interim :
         {std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n"),
          std::string("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
          std::string("HTTP/1.1 199 X\r\n\r\n")}) {
      startBackend([&](const std::string &) { return Interim + Answer; });
      const CallResponse Response = run(requestWithId("GET"));
      EXPECT_EQ(Response.Kind, std::nullopt) << Status << ' ' << Interim;
      EXPECT_EQ(std::to_string(Response.Status), Status) << Interim;
    }
  }
}

// Lines with a blank or a control byte in the name of a field, or without a
// name.
const std::string BadFields[] = {
    "A B: c",
    " A: b",
    "\tA: b",
    "A : b",
    "A\t: b",
    "Content-Length : 5",
    "Content-Length\t: 5",
    "Content Length: 5",
    " Content-Length: 5",
    "Transfer-Encoding : chunked",
    std::string("A\0B: c", 6),
    std::string("\0: c", 4),
    "A\x01: c",
    "A\x0b: c",
    "A\x1f: c",
    "A\x7f: c",
    "A\x85: c",
    "A\xff: c",
    "A\r: c",
    "A\rB: c",
    "(A): c",
    "A@B: c",
    "\"A\": c",
    ": c",
    "A",
    "Content-Length",
};

// Bytes of a response around a line.
struct LinePlace {
  const char *Name;
  std::string Before;
  std::string After;
};

const std::string Start = withStatus("200", "");
const std::string Whole = "Content-Length: 2\r\n\r\nok";
const std::string Chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";

const LinePlace LinePlaces[] = {
    {"the first line of the head", "HTTP/1.1 200 X\r\n",
     "\r\nRequest-Id: r1\r\n" + Whole},
    {"a line before the length", Start, "\r\n" + Whole},
    {"a line after the length", Start + "Content-Length: 2\r\n", "\r\n\r\nok"},
    {"a line of a head without a length", Start, "\r\n\r\nok[close]"},
    {"a line of an interim response", "HTTP/1.1 103 X\r\n",
     "\r\n\r\n" + Start + Whole},
    {"the first trailer", Start + Chunks, "\r\n\r\n"},
    {"the second trailer", Start + Chunks + "X-A: b\r\n", "\r\n\r\n"},
};

// Guards against a line that is passed on, or a body that ends elsewhere for
// the backend server, because the name of a field holds a blank or a control
// byte.
TEST_F(SidecarMalformed, FieldNameTable) {
  for (const LinePlace &Place : LinePlaces) {
    for (const std::string &Field : BadFields) {
      EXPECT_TRUE(isRefused(Place.Before + Field + Place.After))
          << Place.Name << ": " << Field;
    }
    startBackend([&Place](const std::string &) {
      return Place.Before + "X-Sound: 1" + Place.After;
    });
    EXPECT_EQ(run(requestWithId("GET")).Kind, std::nullopt) << Place.Name;
  }
}

} // namespace
} // namespace magnolia::daemon
