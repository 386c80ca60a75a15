#include "daemon/sidecar/sidecar_call.h"

#include "../support/sidecar_fixture.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;
using test::plainResponse;

struct SidecarCallTest : test::SidecarFixture {};

struct ResponseRow {
  const char *Failure;
  std::string Raw;
  std::optional<ErrorKind> Expected;
};

TEST_F(SidecarCallTest, ResponseTable) {
  const ResponseRow Rows[] = {
      {"a valid response that is refused", plainResponse("ok"), std::nullopt},
      {"a truncated body passed on as a short response",
       "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n[cut]",
       ErrorKind::BackendBrokenAnswer},
      {"a connection closed without a response", "",
       ErrorKind::BackendBrokenAnswer},
      {"a complete body without a length that is refused",
       "HTTP/1.1 200 OK\r\n\r\nok[cut]", std::nullopt},
      {"an interrupted body without a length passed on as complete",
       "HTTP/1.1 200 OK\r\n\r\nok[reset]", ErrorKind::BackendBrokenAnswer},
      {"garbage", "[cut] garbage\r\n\r\n", ErrorKind::BackendBrokenAnswer},
      {"a response over the limit", plainResponse(std::string(65, 'x')),
       ErrorKind::AnswerTooLarge},
      {"a refusal by the backend server treated as a run",
       "HTTP/1.1 503 X\r\nBackend-Shed: 1\r\nContent-Length: 0\r\n\r\n",
       ErrorKind::Overloaded},
      {"an error of the backend server treated as a refusal",
       "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", std::nullopt},
  };
  for (const ResponseRow &Row : Rows) {
    startBackend([&Row](const std::string &) { return Row.Raw; });
    const CallResponse Response = run(request("POST"));
    EXPECT_EQ(Response.Kind, Row.Expected) << Row.Failure;
    EXPECT_EQ(Own.admissionState().InFlight, 0U) << Row.Failure;
  }
}

// Guards against a stopping node whose next report of the backend server ends
// its draining.
TEST_F(SidecarCallTest, ReportDoesNotEndTheDrainingOfTheNode) {
  startBackend([](const std::string &) { return plainResponse("ok"); });
  Own.drainNode();
  Backend.setDraining(true);
  attach(Scripted->port());
  EXPECT_EQ(run(request()).Kind, ErrorKind::Draining);
}

struct SecondSendingRow {
  const char *Failure;
  // What happens while the backend server closes the connection.
  std::function<void(Sidecar &)> Event;
  bool IsSent;
};

// Guards against a request that is sent again, after its connection was closed,
// although a new one would be refused, and against reporting it as not run.
TEST_F(SidecarCallTest, ASecondSendingNeedsAdmission) {
  Dialect Cold = nativeDialect();
  Cold.ReportsColdStart = true;
  const SidecarOptions Usual = test::withDialect(&Cold);
  SidecarOptions NoRepeats = Usual;
  NoRepeats.RepeatRatio = 0.1;
  const SecondSendingRow Rows[] = {
      {"no second sending", [](Sidecar &) {}, true},
      {"a leaving server", [](Sidecar &To) { To.onBackendDraining(); }, false},
      {"a draining node", [](Sidecar &To) { To.drainNode(); }, false},
      {"a zone out of service", [](Sidecar &To) { To.setZoneOut(true); },
       false},
      {"a stop that would cut it", [](Sidecar &To) { To.beginStop(now()); },
       false},
      {"a spent budget of repeats",
       [&NoRepeats](Sidecar &To) { To.reload(NoRepeats); }, false},
      {"a cold server",
       [](Sidecar &To) {
         To.setCapacity(0, 1);
         To.onColdLeft(std::chrono::seconds(10), now());
       },
       false},
      {"a server that is gone", [](Sidecar &To) { To.onOtherInstance(); },
       false}};
  for (const SecondSendingRow &Row : Rows) {
    Metrics RowCounts;
    LocalBackend RowBackend;
    Sidecar Tested(Usual, RowBackend, RowCounts);
    int Received = 0;
    test::ScriptedBackend Closing([&](const std::string &) {
      if (++Received != 2) {
        return plainResponse("ok");
      }
      Row.Event(Tested);
      return std::string();
    });
    const LocalBackendState State{.Service = "stock",
                                  .Version = "1",
                                  .Address = "127.0.0.1",
                                  .Port = Closing.port(),
                                  .Slots = 1,
                                  .Present = true};
    RowBackend.update(State);
    Tested.apply(State, now());
    for (int Sent = 0; Sent < 2; ++Sent) {
      SidecarCall Call(Tested, request());
      Call.start(now());
      finish(Call);
      if (Sent == 0) {
        ASSERT_EQ(Call.response().Kind, std::nullopt) << Row.Failure;
        continue;
      }
      EXPECT_EQ(Call.response().Kind,
                Row.IsSent ? std::nullopt
                           : std::optional(ErrorKind::BackendBrokenAnswer))
          << Row.Failure;
      EXPECT_TRUE(Call.response().Reached) << Row.Failure;
    }
    EXPECT_EQ(Closing.requests().size(), Row.IsSent ? 3U : 2U) << Row.Failure;
    EXPECT_EQ(Tested.admissionState().InFlight, 0U) << Row.Failure;
  }
}

// Guards against a refused connection that is reported as a possible run or
// leaves a ledger entry behind.
TEST_F(SidecarCallTest, RefusedConnectionIsNotRun) {
  policy::Error LastError;
  std::uint16_t Port = 0;
  {
    const UniqueFd Closed = listenTcp("127.0.0.1", 0, LastError);
    Port = localPort(Closed.fd());
  }
  attach(Port);
  const CallResponse Response = run(request("POST"));
  EXPECT_EQ(Response.Kind, ErrorKind::BackendConnectFailed);
  EXPECT_EQ(Own.ledgerCounts().Requests, 0U);
  EXPECT_EQ(Own.admissionState().InFlight, 0U);
}

// Guards against a non-idempotent request that runs twice or after a fence.
TEST_F(SidecarCallTest, RunsAtMostOnce) {
  startBackend([](const std::string &) { return plainResponse("ok"); });
  CallRequest First = request("POST");
  EXPECT_EQ(run(First).Kind, std::nullopt);
  EXPECT_EQ(run(First).Kind, ErrorKind::DuplicateRequest);
  EXPECT_FALSE(Own.fence(First.Id, now()));

  CallRequest Fenced = request("POST");
  EXPECT_TRUE(Own.fence(Fenced.Id, now()));
  EXPECT_EQ(run(Fenced).Kind, ErrorKind::Fenced);

  CallRequest Stale = request("POST");
  Stale.SidecarRun = test::SmallLimits.Run - 1;
  EXPECT_EQ(run(Stale).Kind, ErrorKind::StaleIncarnation);

  CallRequest Keyed = request("POST");
  Keyed.IdempotencyKey = "order-1";
  EXPECT_EQ(run(Keyed).Kind, std::nullopt);
  CallRequest Resent = request("POST");
  Resent.IdempotencyKey = "order-1";
  EXPECT_EQ(run(Resent).Kind, ErrorKind::DuplicateRequest);
  EXPECT_EQ(Scripted->requests().size(), 2U);
}

// Guards against a slot freed while the backend server still processes a
// cancelled request, and against waiting requests that never get a slot.
TEST_F(SidecarCallTest, CancelledRequestKeepsItsSlotUntilTheBackendEnds) {
  startBackend([](const std::string &Request) {
    return Request.starts_with("POST") ? "hang" : plainResponse("ok");
  });
  SidecarCall Hanging(Own, request("POST"));
  Hanging.start(now());
  SidecarCall Waiting(Own, request());
  Waiting.start(now());
  EXPECT_FALSE(Waiting.done());
  Hanging.cancel(ErrorKind::Cancelled, now());
  EXPECT_TRUE(Hanging.done());
  finish(Waiting);
  EXPECT_EQ(Waiting.response().Kind, std::nullopt);
  EXPECT_EQ(Own.admissionState().MaxInFlight, 1U);
}

// Guards against a sidecar that does not respond to pings while it sends a long
// body to a backend server that does not read it. The entry node would treat
// the connection as unresponsive.
TEST_F(SidecarCallTest, SendingALongBodyDoesNotBlock) {
  policy::Error LastError;
  const UniqueFd NeverRead = listenTcp("127.0.0.1", 0, LastError);
  attach(localPort(NeverRead.fd()));
  CallRequest Long = request("POST");
  Long.Body.assign(std::size_t{16} << 20, 'x');
  const policy::TimePoint Deadline = Long.Deadline;
  SidecarCall Call(Own, std::move(Long));
  Call.start(now());
  EXPECT_LT(now(), Deadline);
  EXPECT_FALSE(Call.done());
  EXPECT_NE(Call.events() & POLLOUT, 0);
  Call.cancel(ErrorKind::Cancelled, now());
  EXPECT_EQ(Call.response().Kind, ErrorKind::Cancelled);
}

// Guards against hedges to a server in its cold start, which its backend server
// announces.
TEST_F(SidecarCallTest, LoadReportShowsAnAnnouncedColdStart) {
  Dialect Cold = nativeDialect();
  Cold.ReportsColdStart = true;
  Metrics Counted;
  LocalBackend Announced;
  Sidecar Tested(test::withDialect(&Cold), Announced, Counted);
  EXPECT_FALSE(Tested.load().ColdStart);
  Tested.onColdLeft(std::chrono::hours(1), now());
  EXPECT_TRUE(Tested.load().ColdStart);
  Tested.onColdLeft({}, now());
  EXPECT_FALSE(Tested.load().ColdStart);
}

// Guards against a request that keeps its caller waiting after the deadline.
TEST_F(SidecarCallTest, DeadlineEndsTheCall) {
  startBackend([](const std::string &) { return "hang"; });
  CallRequest Late = request("POST");
  Late.Deadline = now() + std::chrono::milliseconds(20);
  EXPECT_EQ(run(Late).Kind, ErrorKind::DeadlineExceededUnknown);
}

// Guards against call-chain headers that are lost or forged by a caller.
TEST_F(SidecarCallTest, WritesItsOwnHeaders) {
  startBackend([](const std::string &) {
    return plainResponse("ok", "Magnolia-Run: no\r\nX-Kept: 1\r\n");
  });
  CallRequest Sent = request();
  Sent.Hops = 3;
  Sent.Headers = {{"Magnolia-Hops", "0"}, {"X-Kept", "2"}};
  const CallResponse Response = run(Sent);
  EXPECT_EQ(Response.Headers, (HttpHeaders{{"X-Kept", "1"}}));
  ASSERT_EQ(Scripted->requests().size(), 1U);
  const std::string Seen = Scripted->requests()[0];
  EXPECT_THAT(Seen, testing::HasSubstr("Magnolia-Hops: 3\r\n"));
  EXPECT_THAT(Seen, testing::HasSubstr("X-Kept: 2\r\n"));
  EXPECT_THAT(Seen, testing::HasSubstr("Magnolia-Request-Id: "));
  EXPECT_THAT(Seen, testing::HasSubstr("Magnolia-Deadline-Ms: "));
  EXPECT_THAT(Seen, testing::Not(testing::HasSubstr("Magnolia-Hops: 0")));
}

// Guards against full load on a backend server that restarted between two
// requests and has not yet reported its new incarnation.
TEST_F(SidecarCallTest, ConnectionClosedAfterAResponseStartsTheRampAgain) {
  startBackend([](const std::string &) { return plainResponse("[cut]"); });
  EXPECT_EQ(run(request()).Kind, std::nullopt);
  const auto Before = Own.admissionState().Resets;
  // The first connection closes only after the response has been read.
  while (Own.admissionState().Resets == Before) {
    EXPECT_EQ(run(request()).Kind, std::nullopt);
  }
  EXPECT_EQ(Own.admissionState().InFlight, 0U);
}

// Guards against full load on a backend server that restarted without
// announcing it.
TEST_F(SidecarCallTest, ChangedIncarnationStartsTheRampAgain) {
  int Run = 1;
  startBackend([&Run](const std::string &) {
    return plainResponse(
        "ok", "Magnolia-Backend-Incarnation: " + std::to_string(Run) + "\r\n");
  });
  EXPECT_EQ(run(request()).Kind, std::nullopt);
  const auto Before = Own.admissionState().Resets;
  Run = 2;
  EXPECT_EQ(run(request()).Kind, std::nullopt);
  EXPECT_EQ(Own.admissionState().Resets, Before + 1);
  EXPECT_EQ(Backend.state().Run, 2U);
}

} // namespace
} // namespace magnolia::daemon
