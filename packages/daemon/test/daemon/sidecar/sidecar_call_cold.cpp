#include "../support/sidecar_fixture.h"

#include <gtest/gtest.h>

#include <chrono>

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;
using std::chrono::milliseconds;
using test::plainResponse;

const Dialect &coldDialect() {
  static const Dialect Made = [] {
    Dialect Changed = nativeDialect();
    Changed.ReportsColdStart = true;
    Changed.DropsOnClose = true;
    return Changed;
  }();
  return Made;
}

// A cold server whose burst of two requests runs without end.
struct SidecarCold : test::SidecarFixture {
  SidecarCold() : SidecarFixture(&coldDialect()) {
    startBackend([](const std::string &Request) {
      return Request.starts_with("PUT") ? "hang" : plainResponse("ok");
    });
    LocalBackendState Larger = Backend.state();
    Larger.Slots = Larger.Connections = 4;
    Own.apply(Larger, now());
    Own.setWorkloadAware(true);
    Own.setCapacity(0, 5);
    Own.onColdLeft(std::chrono::hours(1), now());
    First.start(now());
    Second.start(now());
  }

  CallRequest patient(const char *Method) {
    CallRequest Made = request(Method);
    Made.Objective = now() + milliseconds(3000);
    return Made;
  }

  [[nodiscard]] std::size_t waiting() const {
    return Own.admissionState().Waiting.size();
  }

  SidecarCall First{Own, request("PUT")};
  SidecarCall Second{Own, request("PUT")};
};

// Guards against a request that starts only when another one completes.
TEST_F(SidecarCold, RequestStartsWhenItsTurnComes) {
  EXPECT_EQ(run(patient("GET")).Body, "ok");
  EXPECT_EQ(Own.admissionState().InFlight, 2U);
  EXPECT_EQ(Counts.value(Counter::ColdWaits), 1U);
  EXPECT_EQ(Counts.value(Counter::ColdWaitsStarted), 1U);
}

// Guards against two requests that wake up at once and both start, and against
// a place that is lost because its request was cancelled before it started.
TEST_F(SidecarCold, CancelledRequestReturnsItsPlace) {
  SidecarCall Leaving(Own, patient("PUT"));
  Leaving.start(now());
  SidecarCall Next(Own, patient("PUT"));
  Next.start(now());
  ASSERT_EQ(waiting(), 2U);
  const policy::TimePoint Turn = now() + milliseconds(400);
  Next.advance(Turn);
  EXPECT_EQ(waiting(), 1U);
  Next.advance(Turn);
  EXPECT_EQ(waiting(), 1U);
  Leaving.cancel(ErrorKind::Cancelled, Turn);
  Next.advance(Turn);
  EXPECT_EQ(Own.admissionState().InFlight, 3U);
  EXPECT_EQ(Counts.value(Counter::ColdWaits), 2U);
  EXPECT_EQ(Counts.value(Counter::ColdWaitsStarted), 1U);
}

// Guards against a request that waits although the server has become warm.
TEST_F(SidecarCold, RequestStartsWhenTheServerIsWarm) {
  SidecarCall Waiting(Own, patient("PUT"));
  Waiting.start(now());
  ASSERT_EQ(waiting(), 1U);
  Own.onColdLeft({}, now());
  EXPECT_EQ(waiting(), 0U);
}

// Guards against waiting where admission is not aware of the workload.
TEST_F(SidecarCold, RequestIsRejectedAtOnceIfSwitchedOff) {
  Own.setWorkloadAware(false);
  Own.setCapacity(0, 2);
  EXPECT_EQ(run(patient("GET")).Kind, ErrorKind::ColdStart);
  EXPECT_EQ(Counts.value(Counter::ColdWaits), 0U);
}

} // namespace
} // namespace magnolia::daemon
