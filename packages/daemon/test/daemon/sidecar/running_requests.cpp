#include "daemon/sidecar/running_requests.h"

#include "../support/echo_dialect.h"
#include "../support/sidecar_fixture.h"

#include <gtest/gtest.h>

#include <string>

namespace magnolia::daemon {
namespace {

using policy::RouteCounts;

// A sidecar whose backend server fails, and loses a nested call on demand.
struct RunCounts : test::SidecarFixture {
  RunCounts() : SidecarFixture(&test::echoDialect()) {}

  // Runs a request during which a nested call is rejected or not.
  CallResponse runOne(bool LosesCall, const std::string &Status) {
    startBackend([this, LosesCall, Status](const std::string &) {
      if (LosesCall) {
        Own.running().markLostCall("p");
      }
      return "HTTP/1.1 " + Status +
             "\r\nRequest-Id: p\r\nContent-Length: 0\r\n\r\n";
    });
    CallRequest Made = request();
    Made.Route = "lookups";
    Made.Headers.push_back({"Request-Id", "p"});
    return run(std::move(Made));
  }

  static RouteCounts countsIn(const CallResponse &Response) {
    return {.Runs = Response.RouteRuns, .Losses = Response.RouteLosses};
  }
};

// Guards against responses without the counts that the entry nodes need, and
// against a loss counted for a run that succeeded without the call.
TEST_F(RunCounts, ResponsesCarryTheCountsOfTheirRoute) {
  Own.running().setCounting(true);
  EXPECT_EQ(countsIn(runOne(true, "500 Internal")),
            (RouteCounts{.Runs = 1, .Losses = 1}));
  EXPECT_EQ(countsIn(runOne(true, "200 OK")),
            (RouteCounts{.Runs = 2, .Losses = 1}));
  EXPECT_EQ(countsIn(runOne(false, "500 Internal")),
            (RouteCounts{.Runs = 3, .Losses = 1}));
  EXPECT_FALSE(Own.running().has("p"));
}

// Guards against requests that did not run but count as runs, which would hide
// the losses of the others.
TEST_F(RunCounts, RefusedRequestIsNoRun) {
  Own.running().setCounting(true);
  EXPECT_EQ(countsIn(runOne(true, "503 X\r\nNot-Executed: 1")), RouteCounts{});
}

// Guards against a deployment without the switch that sends other responses.
TEST_F(RunCounts, NothingIsCountedIfSwitchedOff) {
  EXPECT_EQ(countsIn(runOne(true, "500 Internal")), RouteCounts{});
  Own.running().setCounting(true);
  EXPECT_EQ(countsIn(runOne(true, "500 Internal")),
            (RouteCounts{.Runs = 1, .Losses = 1}));
  Own.running().setCounting(false);
  EXPECT_EQ(countsIn(runOne(true, "500 Internal")), RouteCounts{});
}

// Guards against nested calls that inherit from a request which has ended,
// because another request with the same id was removed in its place.
TEST(RunningRequests, EndRemovesOnlyItsOwnEntry) {
  for (const bool NewerEnds : {true, false}) {
    RunningRequests Running;
    const auto Older = Running.begin("p", {.Organisation = "org-a"});
    const auto Newer = Running.begin("p", {.Organisation = "org-b"});
    Running.end(NewerEnds ? Newer : Older, std::nullopt, {});
    const auto Left = Running.find("p");
    ASSERT_TRUE(Left);
    EXPECT_EQ(Left->Organisation, NewerEnds ? "org-a" : "org-b");
    Running.end(NewerEnds ? Older : Newer, std::nullopt, {});
    EXPECT_FALSE(Running.has("p"));
  }
}

} // namespace
} // namespace magnolia::daemon
