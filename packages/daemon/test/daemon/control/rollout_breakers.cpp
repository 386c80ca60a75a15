#include "daemon/control/rollout_breakers.h"

#include "daemon/control/clock.h"
#include "daemon/control/stats_codec.h"
#include "daemon/view/response_recorder.h"
#include "daemon/view/share_overrides.h"
#include "policy/rollout/breaker.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <string_view>
#include <wire/control.pb.h>

namespace magnolia::daemon {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

policy::RolloutRecord shifting() {
  return {.Service = "catalogue",
          .FromVersion = "1",
          .ToVersion = "2",
          .Id = "m",
          .Start = wallNow(),
          .Deadline = wallNow() + hours(1),
          .Phase = policy::RolloutPhase::Shifting,
          .Share = 0.05};
}

void count(RolloutBreakers &Breakers, std::string_view Version, bool Failed,
           std::string_view Route = "/") {
  Breakers.count({.Service = "catalogue",
                  .Route = Route,
                  .Version = Version,
                  .Failed = Failed,
                  .Latency = milliseconds(2)});
}

// Guards against traffic to a bad version until the fleet-wide verdict.
TEST(RolloutBreakers, DisablesAFailingVersionAtOnce) {
  ShareOverrides Overrides;
  int Verdicts = 0;
  RolloutBreakers Breakers(Overrides,
                           [&Verdicts](auto, auto, auto) { ++Verdicts; });
  Breakers.setRecord(shifting());
  for (int I = 0; I < 50; ++I) {
    count(Breakers, "1", false);
  }
  EXPECT_FALSE(Overrides.isBlocked("catalogue", "2"));
  for (int I = 0; I < 20; ++I) {
    count(Breakers, "2", true);
  }
  EXPECT_TRUE(Overrides.isBlocked("catalogue", "2"));
  EXPECT_EQ(Verdicts, 1);
}

// Guards against a late verdict: a single failure opens the circuit breaker,
// and a half-open period with more than the recorded share follows within 2 s.
TEST(RolloutBreakers, RaisesTheShareInTheHalfOpenPeriod) {
  ShareOverrides Overrides;
  RolloutBreakers Breakers(Overrides, [](auto, auto, auto) {});
  Breakers.setRecord(shifting());
  for (int I = 0; I < 20; ++I) {
    count(Breakers, "1", false);
  }
  count(Breakers, "2", true);
  EXPECT_TRUE(Overrides.isBlocked("catalogue", "2"));
  Breakers.refresh(wallNow() + policy::BreakerOpenTime + milliseconds(50));
  EXPECT_GT(Overrides.share("catalogue", "2").value_or(0), shifting().Share);
}

// Guards against failures that are not counted because the service has many
// routes.
TEST(RolloutBreakers, DisablesAVersionThatFailsOnALateRoute) {
  ShareOverrides Overrides;
  RolloutBreakers Breakers(Overrides, [](auto, auto, auto) {});
  Breakers.setRecord(shifting());
  for (int I = 0; I < 1'000; ++I) {
    count(Breakers, "1", false, "/" + std::to_string(I) + "/");
  }
  for (int I = 0; I < 40; ++I) {
    count(Breakers, "1", false, "/late/");
  }
  for (int I = 0; I < 5; ++I) {
    count(Breakers, "2", true, "/late/");
  }
  EXPECT_TRUE(Overrides.isBlocked("catalogue", "2"));
  EXPECT_EQ(Breakers.verdict("catalogue").Kind, policy::VerdictKind::Bad);
}

// Guards against a report with as many routes as it may have that the driver
// refuses to decode.
TEST(RolloutBreakers, ReportsOfManyRoutesCanBeDecoded) {
  ShareOverrides Overrides;
  RolloutBreakers Breakers(Overrides, [](auto, auto, auto) {});
  Breakers.setRecord(shifting());
  for (std::size_t I = 0; I < 2 * policy::StatsReport::MaxRoutes; ++I) {
    count(Breakers, "1", false, "/" + std::to_string(I) + "/");
  }
  for (const auto &[Service, Report] : Breakers.takeReports(1, 1)) {
    EXPECT_EQ(Report.Routes.size(), policy::StatsReport::MaxRoutes);
    const auto Read = toReport(toRequest(Service, Report));
    ASSERT_TRUE(Read);
    EXPECT_EQ(Read->Routes.back().Route, Report.Routes.back().Route);
  }
}

// Guards against traffic to a bad version between its rollback and the next
// view.
TEST(RolloutBreakers, KeepsARolledBackVersionDisabled) {
  ShareOverrides Overrides;
  RolloutBreakers Breakers(Overrides, [](auto, auto, auto) {});
  policy::RolloutRecord Record = shifting();
  Breakers.setRecord(Record);
  EXPECT_TRUE(Breakers.join("catalogue", "m",
                            {.Kind = policy::VerdictKind::Bad, .Reason = "r"}));
  Record.Phase = policy::RolloutPhase::RolledBack;
  Breakers.setRecord(Record);
  EXPECT_TRUE(Overrides.isBlocked("catalogue", "2"));
}

// Guards against a verdict on an earlier rollout that stops a later one.
TEST(RolloutBreakers, IgnoresAVerdictOnAnotherRollout) {
  ShareOverrides Overrides;
  RolloutBreakers Breakers(Overrides, [](auto, auto, auto) {});
  Breakers.setRecord(shifting());
  EXPECT_FALSE(
      Breakers.join("catalogue", "earlier",
                    {.Kind = policy::VerdictKind::Bad, .Reason = "r"}));
  EXPECT_FALSE(Overrides.isBlocked("catalogue", "2"));
}

} // namespace
} // namespace magnolia::daemon
