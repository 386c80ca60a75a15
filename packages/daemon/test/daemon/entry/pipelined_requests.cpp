#include "../support/gated_server.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace magnolia::daemon {
namespace {

using namespace test;
using testing::Contains;
using testing::Not;

// Guards against responses in the order in which the requests end, and against
// idempotent requests that wait for each other.
TEST(PipelinedRequests, ResponsesKeepTheOrderOfTheRequests) {
  GatedServer Test({.Requests = 8});
  GatedCaller Caller(Test);
  Caller.send(get("/a") + get("/b") + get("/c"));
  for (const char *Path : {"/c", "/b", "/a"}) {
    Test.await("start " + std::string(Path));
  }
  for (const char *Path : {"/c", "/b", "/a"}) {
    Test.releaseAndAwait(Path);
  }
  EXPECT_EQ(Caller.body(), "/a");
  EXPECT_EQ(Caller.body(), "/b");
  EXPECT_EQ(Caller.body(), "/c");
  EXPECT_EQ(Test.Counts.value(Counter::PipelinedRequests), 2U);
}

// Guards against a request that waits for the one in front of it because it
// arrived while that one ran.
TEST(PipelinedRequests, ALaterRequestStartsWhileTheFirstRuns) {
  GatedServer Test({.Requests = 8});
  GatedCaller Caller(Test);
  Caller.send(get("/a"));
  Test.await("start /a");
  Caller.send(get("/b"));
  Test.releaseAndAwait("/b");
  Test.releaseAndAwait("/a");
  EXPECT_EQ(Caller.body(), "/a");
  EXPECT_EQ(Caller.body(), "/b");
}

struct OrderRow {
  const char *Guards;
  std::size_t Requests;
  std::string Sent;
  std::vector<std::string> Log;
};

// All paths are released before the requests are sent, so that a request that
// may start too early does.
TEST(PipelinedRequests, WhatRunsOneAfterTheOther) {
  const OrderRow Rows[] = {
      {"a non-idempotent request beside idempotent ones in front of it",
       8,
       get("/a") + post("/b"),
       {"start /a", "end /a", "start /b", "end /b"}},
      {"idempotent requests that overtake a non-idempotent one",
       8,
       post("/a") + get("/b") + post("/c"),
       {"start /a", "end /a", "start /b", "end /b", "start /c", "end /c"}},
      {"requests that run beside others although the limit is 1",
       1,
       get("/a") + get("/b") + get("/c"),
       {"start /a", "end /a", "start /b", "end /b", "start /c", "end /c"}}};
  for (const OrderRow &Row : Rows) {
    GatedServer Test({.Requests = Row.Requests});
    GatedCaller Caller(Test);
    for (const char *Path : {"/a", "/b", "/c"}) {
      Test.release(Path);
    }
    Caller.send(Row.Sent);
    for (std::size_t I = 0; I < Row.Log.size(); I += 2) {
      EXPECT_EQ("start " + Caller.body(), Row.Log[I]) << Row.Guards;
    }
    EXPECT_EQ(Test.log(), Row.Log) << Row.Guards;
    EXPECT_EQ(Test.Counts.value(Counter::PipelinedRequests), 0U) << Row.Guards;
  }
}

// Guards against a limit that is exceeded or rejects requests.
TEST(PipelinedRequests, TheLimitStopsReading) {
  GatedServer Test({.Requests = 2});
  GatedCaller Caller(Test);
  Caller.send(get("/a") + get("/b") + get("/c") + get("/d"));
  Test.releaseAndAwait("/b");
  Test.release("/c");
  Test.release("/d");
  Test.releaseAndAwait("/a");
  for (const char *Path : {"/a", "/b", "/c", "/d"}) {
    const HttpResponse Response = Caller.receive();
    EXPECT_EQ(Response.Status, 200) << Path;
    EXPECT_EQ(Response.Body, Path);
  }
  const auto Log = Test.log();
  EXPECT_LT(std::find(Log.begin(), Log.end(), "end /a"),
            std::find(Log.begin(), Log.end(), "start /c"));
}

// Guards against more fibers than the node has memory for, and against requests
// that stand still without one.
TEST(PipelinedRequests, RequestsWaitForAFiber) {
  GatedServer Test({.Requests = 8}, 1);
  GatedCaller Caller(Test);
  Caller.send(get("/a") + get("/b") + get("/c"));
  Test.await("start /a");
  Test.await("start /b");
  Test.release("/c");
  Test.releaseAndAwait("/a");
  EXPECT_EQ(Caller.body(), "/a");
  EXPECT_THAT(Test.log(), Not(Contains("start /c")));
  Test.release("/b");
  EXPECT_EQ(Caller.body(), "/b");
  EXPECT_EQ(Caller.body(), "/c");
}

// Guards against a caller that closes the connection unnoticed because bytes
// that nobody reads precede the close.
TEST(PipelinedRequests, AClosedConnectionCancelsAllItsRequests) {
  GatedServer Test({.Requests = 3});
  GatedCaller Caller(Test);
  Caller.send(get("/a") + get("/b") + post("/c"));
  Test.await("start /b");
  Caller.send(get("/d"));
  Caller.close();
  Test.await("cancel /a");
  Test.await("cancel /b");
  EXPECT_TRUE(Test.Server.drain(now() + GatedServer::Timeout));
  EXPECT_THAT(Test.log(), Not(Contains("start /c")));
  EXPECT_THAT(Test.log(), Not(Contains("start /d")));
}

// Guards against requests that run behind a response that closes the
// connection, although their caller sends them again.
TEST(PipelinedRequests, AResponseThatClosesEndsTheRequestsBehindIt) {
  GatedServer Test({.Requests = 8});
  GatedCaller Caller(Test);
  Caller.send(get("/close") + get("/b") + post("/c"));
  Test.await("start /b");
  Test.release("/close");
  EXPECT_FALSE(Caller.receive().KeepAlive);
  Test.await("cancel /b");
  EXPECT_EQ(Caller.receive().Status, 0);
  EXPECT_THAT(Test.log(), Not(Contains("start /c")));
}

// Guards against an error response to malformed bytes that overtakes or cuts
// the response to a request in front of them.
TEST(PipelinedRequests, MalformedBytesAreAnsweredInOrder) {
  GatedServer Test({.Requests = 8});
  GatedCaller Caller(Test);
  Caller.send(get("/a") + get("/b"));
  Test.await("start /b");
  Caller.send("garbage\r\n\r\n");
  while (Test.Counts.value(Counter::MalformedRequests) == 0) {
    std::this_thread::yield();
  }
  Test.releaseAndAwait("/b");
  Test.releaseAndAwait("/a");
  EXPECT_EQ(Caller.body(), "/a");
  EXPECT_EQ(Caller.body(), "/b");
  const HttpResponse Error = Caller.receive();
  EXPECT_EQ(Error.Status, 400);
  EXPECT_FALSE(Error.KeepAlive);
  EXPECT_EQ(Caller.receive().Status, 0);
}

// Guards against a planned stop that closes the connection before all requests
// that were read have their response.
TEST(PipelinedRequests, APlannedStopAnswersWhatWasRead) {
  GatedServer Test({.Requests = 8});
  GatedCaller Caller(Test);
  Caller.send(get("/a") + post("/b") + get("/c"));
  Test.await("start /a");
  Test.Service.beginClose();
  for (const char *Path : {"/a", "/b", "/c"}) {
    Test.release(Path);
    const HttpResponse Response = Caller.receive();
    EXPECT_EQ(Response.Body, Path);
    EXPECT_EQ(Response.KeepAlive, Response.Body != "/c") << Path;
  }
  EXPECT_EQ(Caller.receive().Status, 0);
}

// Guards against a caller that does not read and makes the node hold responses
// without bound.
TEST(PipelinedRequests, ASlowReaderStopsReading) {
  GatedServer Test({.Requests = 16, .Bytes = 2 * GatedServer::LargeBytes});
  GatedCaller Caller(Test);
  Caller.send(get("/big"));
  Test.releaseAndAwait("/big");
  for (const char *Path : {"/large1", "/large2"}) {
    Caller.send(get(Path));
    Test.releaseAndAwait(Path);
  }
  Caller.send(get("/large3"));
  Test.release("/large3");
  while (Test.Counts.value(Counter::PipelinePauses) == 0) {
    std::this_thread::yield();
  }
  EXPECT_THAT(Test.log(), Not(Contains("start /large3")));
  EXPECT_GE(Test.Bodies.state().Held, 2 * GatedServer::LargeBytes);
  EXPECT_EQ(Caller.body().size(), GatedServer::BigBytes);
  for (int I = 0; I < 3; ++I) {
    EXPECT_EQ(Caller.body().size(), GatedServer::LargeBytes);
  }
  Caller.close();
  EXPECT_TRUE(Test.Server.drain(now() + GatedServer::Timeout));
  EXPECT_EQ(Test.Bodies.state().Held, 0U);
}

// Guards against input that arrives while nothing watches the connection and
// stays unread while the response in front of it is written slowly.
TEST(PipelinedRequests, UnwatchedInputIsReadBesideASlowWrite) {
  GatedServer Test({.Requests = 8});
  GatedCaller Caller(Test);
  Caller.send(get("/busy"));
  Test.await("start /busy");
  Caller.send(get("/b"));
  const policy::TimePoint Sent = now();
  while (now() <= Sent + std::chrono::milliseconds(2)) {
    std::this_thread::yield();
  }
  Test.BusyEnded = true;
  Test.await("end /b");
  EXPECT_LE(Test.arrived("/b"), Sent + std::chrono::milliseconds(2));
  EXPECT_EQ(Caller.body().size(), GatedServer::BigBytes);
  EXPECT_EQ(Caller.body(), "/b");
}

// Guards against a request that waits behind another one and is passed on with
// more time than its caller has left, and against one that loses time before
// its arrival.
TEST(PipelinedRequests, TimeCountsFromArrival) {
  GatedServer Test({.Requests = 8});
  GatedCaller Caller(Test);
  Caller.send(get("/a"));
  Test.await("start /a");
  const policy::TimePoint Sent = now();
  Caller.send(post("/b"));
  Test.releaseAndAwait("/a");
  const policy::TimePoint Ended = now();
  EXPECT_EQ(Caller.body(), "/a");
  Test.releaseAndAwait("/b");
  EXPECT_GE(Test.arrived("/b"), Sent);
  EXPECT_LE(Test.arrived("/b"), Ended);
}

// Guards against a request that fails by an exception and ends others than
// those of its own connection.
TEST(PipelinedRequests, AnExceptionClosesItsConnectionOnly) {
  GatedServer Test({.Requests = 8});
  GatedCaller Failing(Test);
  GatedCaller Other(Test);
  Failing.send(get("/a") + get("/throw"));
  Other.send(get("/b") + get("/c"));
  Test.await("start /c");
  Test.release("/throw");
  Test.await("cancel /a");
  EXPECT_EQ(Failing.receive().Status, 0);
  Test.releaseAndAwait("/c");
  Test.releaseAndAwait("/b");
  EXPECT_EQ(Other.body(), "/b");
  EXPECT_EQ(Other.body(), "/c");
}

} // namespace
} // namespace magnolia::daemon
