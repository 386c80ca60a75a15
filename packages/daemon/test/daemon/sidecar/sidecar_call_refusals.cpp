#include "../support/echo_dialect.h"
#include "../support/sidecar_fixture.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

// Refusals and other responses on persistent connections to a backend server
// that echoes request ids and writes some responses more than once.

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;
using test::plainResponse;

std::string echo(const std::string &Id) { return "Request-Id: " + Id + "\r\n"; }

std::string refusal(const std::string &Headers, int Status = 503) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

struct SidecarRefusals : test::SidecarFixture {
  SidecarRefusals() : SidecarFixture(&test::echoDialect()) {}

  CallRequest requestWithId(const std::string &Id, bool Idempotent) {
    CallRequest Made = request(Idempotent ? "GET" : "POST");
    Made.Headers = {{"Request-Id", Id}};
    Made.Deadline = now() + std::chrono::milliseconds(500);
    return Made;
  }

  // Runs a request whose response is First and then one whose response is
  // Second. The second one reuses the connection.
  CallResponse runSecond(const std::string &First, const std::string &Second,
                         bool Idempotent) {
    constexpr int Tries = 20;
    for (int I = 0; I < Tries; ++I) {
      startBackend([First, Second](const std::string &Request) {
        return Request.find("Request-Id: r1\r\n") != std::string::npos ? First
                                                                       : Second;
      });
      (void)run(requestWithId("r1", Idempotent));
      CallResponse Response = run(requestWithId("r2", Idempotent));
      // A busy machine may leave the connection idle for too long to be reused.
      if (Scripted->Connections == 1) {
        return Response;
      }
    }
    ADD_FAILURE() << "the connection was never reused";
    return {};
  }
};

struct ReusedRow {
  const char *Failure;
  std::string First;
  std::string Second;
  std::optional<ErrorKind> Expected;
};

// Guards against a refusal of an earlier request, written once more, that is
// taken for the response to the next request on the connection: a caller is
// told that a request did not run which did, or it runs at a second backend
// server.
TEST_F(SidecarRefusals, ReusedConnectionTable) {
  const std::string Ok = plainResponse("ok", echo("r1"));
  const std::string Refused = refusal(echo("r1"));
  const std::string Answer = plainResponse("ok", echo("r2"));
  const auto Broken = ErrorKind::BackendBrokenAnswer;
  const ReusedRow Rows[] = {
      {"the refusal of the request itself", Ok, refusal(echo("r2")),
       ErrorKind::Overloaded},
      {"a refusal in several packets", Ok, "[split]" + refusal(echo("r2")),
       ErrorKind::Overloaded},
      {"an earlier refusal before the response", Refused, Refused + Answer,
       std::nullopt},
      {"an earlier refusal in several packets", Refused,
       "[split]" + Refused + Answer, std::nullopt},
      {"two earlier refusals in one packet", Refused,
       Refused + Refused + Answer, std::nullopt},
      {"an earlier refusal as the last bytes", Refused, Refused + "[cut]",
       Broken},
      {"an earlier refusal that ends the connection", Refused,
       refusal(echo("r1") + "Connection: close\r\n"), Broken},
      {"an earlier refusal of another instance", Refused,
       refusal(echo("r1"), 421) + Answer, std::nullopt},
      {"a refusal without an id", Ok, refusal(""), Broken},
      {"a refusal without an id in several packets", Ok,
       "[split]" + refusal(""), Broken},
      {"a refusal without an id before the response", Ok, refusal("") + Answer,
       Broken},
      {"a refusal of another instance without an id", Ok, refusal("", 421),
       Broken},
      {"a refusal with status 429 without an id", Ok, refusal("", 429), Broken},
      {"a refusal with status 400 without an id", Ok, refusal("", 400), Broken},
      {"a response without an id", Ok, plainResponse("other"), Broken},
      {"a refusal with an empty id", Ok, refusal("Request-Id: \r\n") + "[cut]",
       Broken},
      {"a refusal with the ids of two requests", Ok,
       refusal(echo("r2") + echo("r1")) + "[cut]", Broken},
      {"a refusal after the complete response", Ok,
       Answer + refusal(echo("r2")), std::nullopt},
  };
  for (const ReusedRow &Row : Rows) {
    for (const bool Idempotent : {false, true}) {
      const CallResponse Response =
          runSecond(Row.First, Row.Second, Idempotent);
      EXPECT_EQ(Response.Kind, Row.Expected) << Row.Failure << Idempotent;
      EXPECT_TRUE(Response.Kind || Response.Body == "ok") << Row.Failure;
      EXPECT_TRUE(Backend.state().Present) << Row.Failure;
      EXPECT_EQ(Scripted->requests().size(), 2U) << Row.Failure;
      EXPECT_EQ(Own.admissionState().InFlight, 0U) << Row.Failure;
    }
  }
}

struct FirstRow {
  const char *Failure;
  std::string Raw;
  std::optional<ErrorKind> Expected;
};

TEST_F(SidecarRefusals, NewConnectionTable) {
  const FirstRow Rows[] = {
      {"the refusal of the request itself", refusal(echo("r1")),
       ErrorKind::Overloaded},
      {"a refusal of the only request without an id", refusal(""),
       ErrorKind::Overloaded},
      {"a refusal of another request", refusal(echo("r0")) + "[cut]",
       ErrorKind::BackendBrokenAnswer},
      {"a response of another request",
       plainResponse("x", echo("r0")) + plainResponse("ok", echo("r1")),
       std::nullopt},
  };
  for (const FirstRow &Row : Rows) {
    startBackend([&Row](const std::string &) { return Row.Raw; });
    const CallResponse Response = run(requestWithId("r1", false));
    EXPECT_EQ(Response.Kind, Row.Expected) << Row.Failure;
    EXPECT_TRUE(Response.Kind || Response.Body == "ok") << Row.Failure;
  }
}

// Guards against a status that promises callers 'not run' and comes from a
// backend server that does not state so: the request may have run.
TEST_F(SidecarRefusals, StatusWithoutAStatementPromisesNothing) {
  for (const char *Status : {"408", "429", "503"}) {
    for (const bool Idempotent : {false, true}) {
      startBackend([Status](const std::string &) {
        return "HTTP/1.1 " + std::string(Status) + " X\r\n" + echo("r1") +
               "Content-Length: 0\r\n\r\n";
      });
      const CallResponse Response = run(requestWithId("r1", Idempotent));
      EXPECT_EQ(Response.Kind, Idempotent
                                   ? std::nullopt
                                   : std::optional(ErrorKind::OutcomeUnknown))
          << Status;
    }
  }
}

// Guards against a refusal that arrives on an idle connection and is taken for
// the response to the next request.
TEST_F(SidecarRefusals, BytesOnAnIdleConnectionEndIt) {
  startBackend([](const std::string &Request) {
    const bool First = Request.find("Request-Id: r1") != std::string::npos;
    return First ? plainResponse("ok", echo("r1")) + refusal(echo("r1"))
                 : plainResponse("ok", echo("r2"));
  });
  EXPECT_EQ(run(requestWithId("r1", false)).Kind, std::nullopt);
  EXPECT_EQ(run(requestWithId("r2", false)).Kind, std::nullopt);
  EXPECT_EQ(Scripted->Connections, 2);
}

// Guards against a request that was refused, is sent to the same backend server
// again, and is taken for refused once more because the first refusal is
// written a second time. Both carry the same id.
TEST_F(SidecarRefusals, RepeatUsesANewConnection) {
  startBackend([](const std::string &) { return refusal(echo("r1")); });
  EXPECT_EQ(run(requestWithId("r1", false)).Kind, ErrorKind::Overloaded);
  CallRequest Repeat = requestWithId("r1", false);
  Repeat.Repeat = true;
  EXPECT_EQ(run(Repeat).Kind, ErrorKind::Overloaded);
  EXPECT_EQ(Scripted->Connections, 2);
}

// Guards against a refusal that ends a request whose body the backend server
// has not read completely, and a connection that is reused in the middle of it.
TEST_F(SidecarRefusals, RefusalBeforeTheWholeBodyEndsTheConnection) {
  startBackend([](const std::string &) { return refusal(echo("r1")); });
  EXPECT_EQ(run(requestWithId("r1", false)).Kind, ErrorKind::Overloaded);
  policy::Error LastError;
  const UniqueFd Listener = listenTcp("127.0.0.1", 0, LastError);
  attach(localPort(Listener.fd()));
  CallRequest Long = requestWithId("r2", false);
  Long.Body.assign(std::size_t{16} << 20, 'x');
  Long.Deadline = now() + test::TestTimeout;
  SidecarCall Call(Own, std::move(Long));
  Call.start(now());
  ASSERT_TRUE(waitReadable(Listener.fd(), now() + test::TestTimeout));
  const UniqueFd Accepted(::accept(Listener.fd(), nullptr, nullptr));
  ASSERT_TRUE(sendAll(Accepted.fd(), refusal(echo("r2")), {},
                      now() + test::TestTimeout));
  finish(Call);
  EXPECT_EQ(Call.response().Kind, ErrorKind::Overloaded);
  bool ClosedEarly = false;
  EXPECT_FALSE(
      Own.pool().takeIdle(now(), policy::Duration::max(), ClosedEarly));
}

} // namespace
} // namespace magnolia::daemon
