#include "daemon/entry/http_service.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"

#include <gtest/gtest.h>

#include <chrono>
#include <mutex>
#include <string>

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
  HttpService Service{[](const HttpRequest &, int) { return HttpResponse{}; },
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

} // namespace
} // namespace magnolia::daemon
