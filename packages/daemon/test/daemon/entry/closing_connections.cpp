#include "../support/gated_server.h"
#include "../support/slow_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

namespace magnolia::daemon {
namespace {

using namespace test;

// Time in which an idle connection ends in these tests.
constexpr std::chrono::milliseconds Idle{20};

// Lets the connection of a caller end while the response to its first request,
// which has the path, is still on its way.
struct CloseRow {
  const char *Guards;
  std::string Path;
  std::function<void(GatedServer &, const GatedCaller &)> End;
  policy::Duration Idle = GatedServer::Timeout;
};

// A caller that reads slowly has sent more than the node reads. Closing a
// socket with unread input resets the connection and discards the output that
// has not arrived.
TEST(ClosingConnections, AResponseIsNotCut) {
  const CloseRow Rows[] = {
      {"a planned stop with an unread request", "/large",
       [](GatedServer &Test, const GatedCaller &Caller) {
         Test.Service.beginClose();
         Caller.send(get("/b"));
         Test.releaseAndAwait("/large");
       }},
      {"a response that closes, with an unread request", "/close-large",
       [](GatedServer &Test, const GatedCaller &Caller) {
         Caller.send(get("/b"));
         Test.releaseAndAwait("/close-large");
       }},
      {"a request that crosses the close", "/close-large",
       [](GatedServer &Test, const GatedCaller &Caller) {
         Test.releaseAndAwait("/close-large");
         (void)isReset(Caller.fd());
         Caller.send(get("/b"));
       }},
      {"an exception in the next request", "/large",
       [](GatedServer &Test, const GatedCaller &Caller) {
         Caller.send(get("/throw"));
         Test.releaseAndAwait("/large");
         Test.await("start /throw");
         Caller.send(get("/b"));
         Test.release("/throw");
       }},
      {"malformed bytes behind the request", "/large",
       [](GatedServer &Test, const GatedCaller &Caller) {
         Caller.send("garbage\r\n\r\n" + get("/b"));
         Test.releaseAndAwait("/large");
       }},
      {"a request that crosses the end of an idle connection", "/large",
       [](GatedServer &Test, const GatedCaller &Caller) {
         Test.releaseAndAwait("/large");
         (void)isReset(Caller.fd());
         Caller.send(get("/b"));
       },
       Idle},
      {"a planned stop of an idle connection that a request crosses", "/large",
       [](GatedServer &Test, const GatedCaller &Caller) {
         Test.releaseAndAwait("/large");
         (void)isReset(Caller.fd());
         EXPECT_FALSE(Test.Server.drain(now()));
         (void)isReset(Caller.fd());
         Caller.send(get("/b"));
       }}};
  for (const CloseRow &Row : Rows) {
    SCOPED_TRACE(Row.Guards);
    GatedServer Test({.Requests = 1}, 64, Row.Idle);
    GatedCaller Caller(connectWithSmallWindow(Test.Server.port()));
    Caller.send(get(Row.Path));
    Test.await("start " + Row.Path);
    Row.End(Test, Caller);
    EXPECT_FALSE(isReset(Caller.fd()));
    EXPECT_EQ(Caller.body().size(), GatedServer::LargeBytes);
  }
}

// Guards against a caller that is refused because of the limit on connections
// and sees a reset in place of the reason.
TEST(ClosingConnections, ARefusedCallerIsTold) {
  GatedServer Test({.Requests = 1});
  std::vector<UniqueFd> Held;
  for (std::size_t I = 0; I < GatedServer::MaximumConnections; ++I) {
    Held.push_back(Test.connect());
  }
  while (Test.Server.connections() < GatedServer::MaximumConnections) {
    std::this_thread::yield();
  }
  GatedCaller Refused(Test);
  Refused.send(get("/a"));
  EXPECT_EQ(Refused.receive().Status, 503);
  EXPECT_FALSE(isReset(Refused.fd()));
  EXPECT_EQ(Test.Server.refused(), 1U);
}

} // namespace
} // namespace magnolia::daemon
