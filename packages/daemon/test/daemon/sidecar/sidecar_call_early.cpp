#include "../support/echo_dialect.h"
#include "../support/sidecar_fixture.h"

#include <gtest/gtest.h>

#include <poll.h>
#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

// Responses that arrive while the request is still being sent.

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;

// More than the buffers of both sockets hold.
constexpr std::size_t UploadBytes = std::size_t{12} << 20;
constexpr int SmallBuffer = 4096;

// How the backend server ends the connection behind its bytes.
enum class Ending : std::uint8_t { Reset, End, EndAndReset };

// Backend server that the test drives step by step. It reads nothing but the
// head of a request.
class EarlyBackend {
public:
  EarlyBackend() {
    policy::Error LastError;
    Listener = listenTcp("127.0.0.1", 0, LastError);
    ::setsockopt(Listener.fd(), SOL_SOCKET, SO_RCVBUF, &SmallBuffer,
                 sizeof SmallBuffer);
  }

  [[nodiscard]] std::uint16_t port() const { return localPort(Listener.fd()); }

  // Waits for a request, on a new connection or the last one.
  void awaitRequest() {
    pollfd Polls[] = {{.fd = Listener.fd(), .events = POLLIN, .revents = 0},
                      {.fd = Accepted.fd(), .events = POLLIN, .revents = 0}};
    ASSERT_TRUE(waitReady(Polls, now() + test::TestTimeout, {}));
    if (Polls[0].revents != 0) {
      Accepted = UniqueFd(::accept(Listener.fd(), nullptr, nullptr));
    }
    readHead();
  }

  void send(std::string_view Bytes) {
    ASSERT_TRUE(sendAll(Accepted.fd(), Bytes, {}, now() + test::TestTimeout));
  }

  void end(Ending How) {
    if (How != Ending::Reset) {
      ::shutdown(Accepted.fd(), SHUT_WR);
    }
    if (How == Ending::End) {
      HalfClosed = std::move(Accepted);
      return;
    }
    const linger Abort{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(Accepted.fd(), SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
    Accepted.reset();
  }

private:
  void readHead() {
    std::string Head;
    while (!Head.ends_with("\r\n\r\n")) {
      char Next = 0;
      ASSERT_TRUE(waitReadable(Accepted.fd(), now() + test::TestTimeout));
      ASSERT_EQ(::recv(Accepted.fd(), &Next, 1, 0), 1);
      Head += Next;
    }
  }

  UniqueFd Listener;
  UniqueFd Accepted;
  UniqueFd HalfClosed;
};

struct SidecarEarly : test::SidecarFixture {
  SidecarEarly() : SidecarFixture(&test::echoDialect()) {
    attach(Early.port());
  }

  CallRequest upload(const char *Method, std::size_t Bytes) {
    CallRequest Made = request(Method);
    Made.Idempotent = Made.Method == "PUT";
    Made.Headers = {{"Request-Id", "r1"}};
    Made.Body.assign(Bytes, 'x');
    return Made;
  }

  // Uses up a connection's first request, so that the next one reuses it.
  void openConnection() {
    CallRequest First = request("PUT");
    First.Headers = {{"Request-Id", "r0"}};
    SidecarCall Call(Own, std::move(First));
    Call.start(now());
    Early.awaitRequest();
    Early.send(test::plainResponse("", "Request-Id: r0\r\n"));
    finish(Call);
    ASSERT_EQ(Call.response().Kind, std::nullopt);
  }

  bool hasIdle() {
    bool ClosedEarly = false;
    return Own.pool().takeIdle(now(), policy::Duration::max(), ClosedEarly) !=
           nullptr;
  }

  EarlyBackend Early;
};

struct EarlyRow {
  const char *Failure;
  std::string Bytes;
  Ending How;
  // Body that the caller gets, or nothing for a broken response.
  std::optional<std::string> Expected;
};

const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";

const EarlyRow Rows[] = {
    {"a part of a body without a length", Head + "\r\npart", Ending::Reset, {}},
    {"a part of a body without a length, which is said to be the last",
     Head + "Connection: close\r\n\r\npart",
     Ending::Reset,
     {}},
    {"no byte of a body without a length", Head + "\r\n", Ending::Reset, {}},
    {"a part of a body without a length, after an interim response",
     "HTTP/1.1 100 Continue\r\n\r\n" + Head + "\r\npart",
     Ending::Reset,
     {}},
    {"a part of a body with a length",
     Head + "Content-Length: 5\r\n\r\npart",
     Ending::Reset,
     {}},
    {"chunks without the last one",
     Head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
     Ending::Reset,
     {}},
    {"a part of a head", Head, Ending::Reset, {}},
    {"a whole body with a length that is lost",
     Head + "Content-Length: 5\r\n\r\nwhole", Ending::Reset, "whole"},
    {"whole chunks that are lost",
     Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
     Ending::Reset, "whole"},
    {"a body without a length that is lost", Head + "\r\nwhole", Ending::End,
     "whole"},
    {"a body without a length that is lost because the server then closes",
     Head + "\r\nwhole", Ending::EndAndReset, "whole"},
    {"a part of a body with a length, and an end",
     Head + "Content-Length: 5\r\n\r\npart",
     Ending::EndAndReset,
     {}},
};

// Guards against a part of a response that is passed on as a whole one because
// the reset behind it was seen by the send of the request alone, and against
// whole responses that are taken for parts.
TEST_F(SidecarEarly, AResetDoesNotEndAResponse) {
  for (const EarlyRow &Row : Rows) {
    for (const char *Method : {"POST", "PUT"}) {
      for (const std::size_t Bytes : {std::size_t{0}, UploadBytes}) {
        for (const bool Reused : {false, true}) {
          if (Reused) {
            openConnection();
          }
          SidecarCall Call(Own, upload(Method, Bytes));
          Call.start(now());
          Early.awaitRequest();
          Early.send(Row.Bytes);
          Early.end(Row.How);
          finish(Call);
          const CallResponse &Got = Call.response();
          const std::string Shown = std::string(Row.Failure) + ", " + Method +
                                    ", " + std::to_string(Bytes) + " bytes" +
                                    (Reused ? ", reused connection" : "");
          EXPECT_EQ(Got.Kind,
                    Row.Expected
                        ? std::nullopt
                        : std::optional(ErrorKind::BackendBrokenAnswer))
              << Shown;
          EXPECT_EQ(Got.Body, Row.Expected.value_or("")) << Shown;
          EXPECT_EQ(Own.admissionState().InFlight, 0U) << Shown;
          EXPECT_FALSE(hasIdle()) << Shown;
        }
      }
    }
  }
}

// Guards against a part of a response that is passed on as a whole one if it is
// read before the reset arrives.
TEST_F(SidecarEarly, AResetAfterThePartWasReadDoesNotEndAResponse) {
  SidecarCall Call(Own, upload("POST", UploadBytes));
  Call.start(now());
  Early.awaitRequest();
  Early.send(Head + "\r\npart");
  ASSERT_TRUE(waitReadable(Call.fd(), now() + test::TestTimeout));
  Call.advance(now());
  ASSERT_FALSE(Call.done());
  Early.end(Ending::Reset);
  finish(Call);
  EXPECT_EQ(Call.response().Kind, ErrorKind::BackendBrokenAnswer);
}

} // namespace
} // namespace magnolia::daemon
