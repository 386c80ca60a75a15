#include "daemon/sidecar/backend_watch.h"

#include "../support/echo_dialect.h"
#include "../support/sidecar_fixture.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <new>
#include <string>
#include <thread>

namespace magnolia::daemon {
namespace {

using test::plainResponse;

struct BackendWatchTest : test::SidecarFixture {
  BackendWatchTest() : SidecarFixture(&test::echoDialect()) {}

  // Checks the health of the backend server until the given number of checks
  // has ended. Returns false if they take too long.
  bool watch(int Wanted) {
    const policy::TimePoint Until = now() + test::TestTimeout;
    BackendWatch Watch(Own, Backend,
                       {.LoadPath = [] { return std::string("/health"); },
                        .Interval = std::chrono::milliseconds(1),
                        .FromSettings = false,
                        .OnHealth = [this](const BackendHealth &,
                                           policy::TimePoint) { ++Reports; },
                        .AfterCheck = [this](policy::TimePoint) { ++Checks; }});
    while (Checks < Wanted && now() < Until) {
      std::this_thread::yield();
    }
    return Checks >= Wanted;
  }

  std::atomic<int> Checks = 0;
  std::atomic<int> Reports = 0;
};

// Guards against an unexpected error during a check that ends the process.
TEST_F(BackendWatchTest, ExceptionEndsItsCheckOnly) {
  startBackend([](const std::string &) { return plainResponse("ok"); });
  const policy::TimePoint Until = now() + test::TestTimeout;
  std::atomic<int> Calls = 0;
  const BackendWatch Watch(Own, Backend,
                           {.LoadPath = [&Calls]() -> std::string {
                              ++Calls;
                              throw std::bad_alloc();
                            },
                            .Interval = std::chrono::milliseconds(1)});
  while (Calls < 3 && now() < Until) {
    std::this_thread::yield();
  }
  EXPECT_GE(Calls, 3);
}

struct EndlessRow {
  const char *Failure;
  std::string Raw;
};

// Guards against a health response without end that stops the checks and the
// shutdown of the node.
TEST_F(BackendWatchTest, EndlessResponseEndsTheCheck) {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const EndlessRow Rows[] = {
      {"interim responses", "[endless]HTTP/1.1 100 Continue\r\n\r\n"},
      {"a head", "HTTP/1.1 200 OK\r\n[endless]A: b\r\n"},
      {"a chunk extension", Chunked + "1;[endless]x"},
      {"a body", "HTTP/1.1 200 OK\r\n\r\n[endless]x"},
      {"a slow head", "HTTP/1.1 200 OK\r\nA: [slow]x"},
  };
  for (const EndlessRow &Row : Rows) {
    Checks = Reports = 0;
    startBackend([&Row](const std::string &) { return Row.Raw; });
    EXPECT_TRUE(watch(2)) << Row.Failure;
    EXPECT_EQ(Reports, 0) << Row.Failure;
  }
}

// Guards against a broken response that counts as a report of health.
TEST_F(BackendWatchTest, BrokenResponseIsNoHealthReport) {
  const std::string Whole = "Content-Length: 0\r\n\r\n";
  const EndlessRow Rows[] = {
      {"an undefined status", "HTTP/1.1 000 X\r\n" + Whole},
      {"a status that is too large", "HTTP/1.1 600 X\r\n" + Whole},
      {"a blank in a name", "HTTP/1.1 200 OK\r\nA B: c\r\n" + Whole},
      {"a blank before a colon", "HTTP/1.1 200 OK\r\nA : c\r\n" + Whole},
      {"a control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: c\r\n" + Whole},
      {"a part of a body", "HTTP/1.1 200 OK\r\n\r\npart[reset]"},
  };
  for (const EndlessRow &Row : Rows) {
    Checks = Reports = 0;
    startBackend([&Row](const std::string &) { return Row.Raw; });
    EXPECT_TRUE(watch(2)) << Row.Failure;
    EXPECT_EQ(Reports, 0) << Row.Failure;
  }
}

// Guards against an earlier response, written once more, that is taken for the
// state of the backend server, and against a health response that is then taken
// for the response to a request.
TEST_F(BackendWatchTest, ResponseToARequestIsNoHealthReport) {
  startBackend([](const std::string &Request) {
    const std::string Answer = plainResponse("ok", "Request-Id: r1\r\n");
    return Request.find("/health") != std::string::npos
               ? Answer + plainResponse("")
               : Answer;
  });
  CallRequest First = request("GET");
  First.Headers = {{"Request-Id", "r1"}};
  EXPECT_EQ(run(First).Kind, std::nullopt);
  EXPECT_TRUE(watch(1));
  EXPECT_EQ(Reports, 0);
  bool ClosedEarly = false;
  EXPECT_FALSE(
      Own.pool().takeIdle(now(), policy::Duration::max(), ClosedEarly));
}

} // namespace
} // namespace magnolia::daemon
