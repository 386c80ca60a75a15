#include "daemon/entry/http_service.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"

#include <gtest/gtest.h>

#include <chrono>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::daemon {
namespace {

using namespace std::chrono_literals;

struct LimitRow {
  const char *Guards;
  settings::CallerLimits Configured;
  HttpServiceOptions Expected;
};

TEST(HttpService, LimitsOfTheConfiguration) {
  const HttpServiceOptions NodeOptions{
      .Limits = {.HeadBytes = 1000, .BodyBytes = 5000},
      .Idle = 60s,
      .Read = 10s};
  const LimitRow Rows[] = {
      {"an empty configuration that removes the limits of the node",
       {},
       NodeOptions},
      {"configured limits that are not applied",
       {.HeadBytes = 500,
        .BodyBytes = 700,
        .HeadTimeoutMs = 2000,
        .IdleTimeoutMs = 8000},
       {.Limits = {.HeadBytes = 500, .BodyBytes = 700},
        .Idle = 8s,
        .Read = 10s,
        .Head = 2s}},
      {"size limits that exceed the memory of the node",
       {.HeadBytes = 9000, .BodyBytes = 9000},
       NodeOptions},
      {"a longer configured idle timeout, which callers rely on, reduced to "
       "that of the node",
       {.IdleTimeoutMs = 90'000},
       {.Limits = NodeOptions.Limits, .Idle = 90s, .Read = 10s}}};
  for (const LimitRow &Row : Rows) {
    const HttpServiceOptions Got =
        applyCallerLimits(NodeOptions, Row.Configured);
    EXPECT_TRUE(Got.Limits == Row.Expected.Limits) << Row.Guards;
    EXPECT_EQ(Got.Idle, Row.Expected.Idle) << Row.Guards;
    EXPECT_EQ(Got.Read, Row.Expected.Read) << Row.Guards;
    EXPECT_EQ(Got.Head, Row.Expected.Head) << Row.Guards;
  }
}

// Server whose limits can change while it runs.
struct LimitedServer {
  settings::CallerLimits Limits;
  std::mutex Mutex;
  Metrics Counts;
  HttpService Service{
      [](const HttpRequest &, CallerWatch &) { return HttpResponse{}; },
      Counts,
      nativeDialect(),
      {.Limits = {.HeadBytes = 16'384, .BodyBytes = 16'384},
       .Idle = 10s,
       .Read = 10s},
      [this] {
        const std::lock_guard Lock(Mutex);
        return Limits;
      }};
  ConnectionServer Server{{.Address = "127.0.0.1",
                           .Port = 0,
                           .Maximum = 8,
                           .Serve = [this](Session &S) { Service.serve(S); },
                           .Refuse = {}}};

  LimitedServer() {
    policy::Error LastError;
    EXPECT_TRUE(Server.start(LastError)) << LastError.Detail;
  }
  void set(const settings::CallerLimits &Next) {
    const std::lock_guard Lock(Mutex);
    Limits = Next;
  }
  [[nodiscard]] UniqueFd connect() const {
    return connectTcp("127.0.0.1", Server.port(), now() + 10s);
  }
};

// Returns the start of the status line, or an empty string if the connection
// ended without a response.
std::string ask(int Fd, const std::string &Request) {
  EXPECT_TRUE(sendAll(Fd, Request, {}, now() + 10s));
  std::string Space(4096, '\0');
  for (;;) {
    if (!waitReadable(Fd, now() + 10s)) {
      return "deadline";
    }
    const auto Count = receiveSome(Fd, Space);
    if (Count != 0) {
      return Count > 0 ? Space.substr(0, 12) : std::string();
    }
  }
}

std::string post(std::size_t Bytes) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(Bytes) +
         "\r\n\r\n" + std::string(Bytes, 'x');
}

// Guards against changed limits that never apply to open connections.
TEST(HttpService, ChangedLimitsHoldForTheNextRequestOfAConnection) {
  LimitedServer Test;
  const UniqueFd Connection = Test.connect();
  EXPECT_EQ(ask(Connection.fd(), post(100)), "HTTP/1.1 200");
  Test.set({.BodyBytes = 50});
  EXPECT_EQ(ask(Connection.fd(), post(100)), "HTTP/1.1 413");
}

// Guards against a caller that occupies a connection by sending its request
// head one byte at a time.
TEST(HttpService, HeadMustEndInTime) {
  LimitedServer Test;
  Test.set({.HeadTimeoutMs = 20});
  const UniqueFd Slow = Test.connect();
  EXPECT_EQ(ask(Slow.fd(), "GET / HT"), "");
}

// Guards against connections that stay open beyond the idle timeout.
TEST(HttpService, IdleConnectionsEndInTime) {
  LimitedServer Test;
  Test.set({.IdleTimeoutMs = 20});
  const UniqueFd Idle = Test.connect();
  EXPECT_EQ(ask(Idle.fd(), post(0)), "HTTP/1.1 200");
  EXPECT_EQ(ask(Idle.fd(), ""), "");
}

// Server that records the requests that it handles and responds with their
// paths. The path /last closes the connection.
struct RecordingServer {
  std::mutex Mutex;
  std::vector<HttpRequest> Handled;
  std::vector<policy::TimePoint> EndedAt;
  Metrics Counts;
  HttpService Service{[this](const HttpRequest &Request, CallerWatch &) {
                        return handle(Request);
                      },
                      Counts,
                      nativeDialect(),
                      {.Limits = {.HeadBytes = 16'384, .BodyBytes = 16'384},
                       .Idle = 10s,
                       .Read = 10s}};
  ConnectionServer Server{{.Address = "127.0.0.1",
                           .Port = 0,
                           .Maximum = 8,
                           .Serve = [this](Session &S) { Service.serve(S); },
                           .Refuse = {}}};

  RecordingServer() {
    policy::Error LastError;
    EXPECT_TRUE(Server.start(LastError)) << LastError.Detail;
  }

  HttpResponse handle(const HttpRequest &Request) {
    HttpResponse Response;
    Response.Body = Request.Target;
    if (Request.Target == "/last") {
      Service.beginClose();
    }
    const std::lock_guard Lock(Mutex);
    Handled.push_back(Request);
    EndedAt.push_back(now());
    return Response;
  }

  // Sends all bytes at once and returns what comes until the connection ends.
  [[nodiscard]] std::string exchange(const std::string &Sent) const {
    const UniqueFd Fd = connectTcp("127.0.0.1", Server.port(), now() + 10s);
    EXPECT_TRUE(sendAll(Fd.fd(), Sent, {}, now() + 10s));
    std::string Received;
    std::string Space(4096, '\0');
    for (;;) {
      const auto Count = receiveSome(Fd.fd(), Space);
      if (Count < 0 || (Count == 0 && !waitReadable(Fd.fd(), now() + 10s))) {
        return Received;
      }
      Received.append(Space, 0, static_cast<std::size_t>(Count));
    }
  }
};

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\n\r\n";
}

int responsesIn(std::string_view Received) {
  int Count = 0;
  for (std::size_t At = 0;
       (At = Received.find("HTTP/1.1 ", At)) != std::string_view::npos; ++At) {
    ++Count;
  }
  return Count;
}

struct PipelineRow {
  const char *Guards;
  std::string Sent;
  int Responses;
  // Parts of the received bytes, in this order.
  std::vector<std::string> Received;
  std::vector<std::string> Handled;
};

// Guards the responses to requests that a caller sends without waiting for the
// response to the first.
TEST(HttpService, PipelinedRequests) {
  const PipelineRow Rows[] = {
      {"responses in another order than the requests",
       get("/a") + get("/b") + get("/last"),
       3,
       {"\r\n\r\n/a", "\r\n\r\n/b", "Connection: close", "\r\n\r\n/last"},
       {"/a", "/b", "/last"}},
      {"a request that runs behind a response that closes the connection, "
       "although its caller sends it again",
       get("/a") + get("/last") + get("/never"),
       2,
       {"\r\n\r\n/a", "Connection: close", "\r\n\r\n/last"},
       {"/a", "/last"}},
      {"a malformed request that ends the response to an earlier one",
       get("/a") + "garbage\r\n\r\n",
       2,
       {"\r\n\r\n/a", "HTTP/1.1 400", "Connection: close"},
       {"/a"}},
      {"a body that is taken for the next request",
       "POST /a HTTP/1.1\r\nContent-Length: 22\r\n\r\n" + get("/bbbb") +
           get("/last"),
       2,
       {"\r\n\r\n/a", "\r\n\r\n/last"},
       {"/a", "/last"}}};
  for (const PipelineRow &Row : Rows) {
    RecordingServer Test;
    const std::string Received = Test.exchange(Row.Sent);
    std::size_t At = 0;
    for (const std::string &Part : Row.Received) {
      At = Received.find(Part, At);
      ASSERT_NE(At, std::string::npos) << Row.Guards << ": " << Received;
      At += Part.size();
    }
    EXPECT_EQ(responsesIn(Received), Row.Responses) << Row.Guards;
    const std::lock_guard Lock(Test.Mutex);
    ASSERT_EQ(Test.Handled.size(), Row.Handled.size()) << Row.Guards;
    for (std::size_t I = 0; I < Row.Handled.size(); ++I) {
      EXPECT_EQ(Test.Handled[I].Target, Row.Handled[I]) << Row.Guards;
    }
  }
}

// Guards against a request that waits behind another and is passed on with
// more time than its caller has left.
TEST(HttpService, TimeCountsWhileARequestWaitsBehindAnother) {
  RecordingServer Test;
  (void)Test.exchange(get("/a") + get("/last"));
  const std::lock_guard Lock(Test.Mutex);
  ASSERT_EQ(Test.Handled.size(), 2U);
  EXPECT_LT(Test.Handled[1].Arrived, Test.EndedAt[0]);
}

// Guards against a caller that sends one request after the other and loses the
// time between them.
TEST(HttpService, TimeOfALaterRequestCountsFromItsArrival) {
  RecordingServer Test;
  const UniqueFd Fd = connectTcp("127.0.0.1", Test.Server.port(), now() + 10s);
  EXPECT_EQ(ask(Fd.fd(), get("/a")), "HTTP/1.1 200");
  const policy::TimePoint Sent = now();
  EXPECT_EQ(ask(Fd.fd(), get("/b")), "HTTP/1.1 200");
  const std::lock_guard Lock(Test.Mutex);
  ASSERT_EQ(Test.Handled.size(), 2U);
  EXPECT_GE(Test.Handled[1].Arrived, Sent);
}

// Guards against a request whose origin is unknown, so that a nested call of
// the local backend server is rejected.
TEST(HttpService, EachRequestOfAConnectionHasItsAddress) {
  RecordingServer Test;
  (void)Test.exchange(get("/a") + get("/last"));
  const std::lock_guard Lock(Test.Mutex);
  ASSERT_EQ(Test.Handled.size(), 2U);
  for (const HttpRequest &Request : Test.Handled) {
    EXPECT_EQ(Request.RemoteAddress, "127.0.0.1") << Request.Target;
  }
}

} // namespace
} // namespace magnolia::daemon
