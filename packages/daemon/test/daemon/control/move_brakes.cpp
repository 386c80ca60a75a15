#include "daemon/control/move_brakes.h"

#include "daemon/control/clock.h"
#include "daemon/view/evidence_recorder.h"
#include "daemon/view/version_cuts.h"
#include "policy/move/brake.h"

#include <chrono>
#include <gtest/gtest.h>

namespace magnolia::daemon {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

policy::MoveRecord shifting() {
  return {.Service = "catalogue",
          .FromVersion = "1",
          .ToVersion = "2",
          .Id = "m",
          .Start = wallNow(),
          .Deadline = wallNow() + hours(1),
          .Phase = policy::MovePhase::Shifting,
          .Share = 0.05};
}

void count(MoveBrakes &Brakes, std::string_view Version, bool Failed) {
  Brakes.count({.Service = "catalogue",
                .Route = "/",
                .Version = Version,
                .Failed = Failed,
                .Latency = milliseconds(2)});
}

// Guards against traffic to a bad version until the fleet-wide verdict.
TEST(MoveBrakes, DisablesAFailingVersionAtOnce) {
  VersionCuts Cuts;
  int Verdicts = 0;
  MoveBrakes Brakes(Cuts, [&Verdicts](auto, auto, auto) { ++Verdicts; });
  Brakes.setRecord(shifting());
  for (int I = 0; I < 50; ++I) {
    count(Brakes, "1", false);
  }
  EXPECT_FALSE(Cuts.isCut("catalogue", "2"));
  for (int I = 0; I < 20; ++I) {
    count(Brakes, "2", true);
  }
  EXPECT_TRUE(Cuts.isCut("catalogue", "2"));
  EXPECT_EQ(Verdicts, 1);
}

// Guards against a late verdict: a single failure opens the circuit breaker,
// and a half-open period with more than the recorded share follows within 2 s.
TEST(MoveBrakes, RaisesTheShareInTheHalfOpenPeriod) {
  VersionCuts Cuts;
  MoveBrakes Brakes(Cuts, [](auto, auto, auto) {});
  Brakes.setRecord(shifting());
  for (int I = 0; I < 20; ++I) {
    count(Brakes, "1", false);
  }
  count(Brakes, "2", true);
  EXPECT_TRUE(Cuts.isCut("catalogue", "2"));
  Brakes.refresh(wallNow() + policy::BrakePause + milliseconds(50));
  EXPECT_GT(Cuts.share("catalogue", "2").value_or(0), shifting().Share);
}

// Guards against traffic to a bad version between its rollback and the next
// view.
TEST(MoveBrakes, KeepsARolledBackVersionDisabled) {
  VersionCuts Cuts;
  MoveBrakes Brakes(Cuts, [](auto, auto, auto) {});
  policy::MoveRecord Record = shifting();
  Brakes.setRecord(Record);
  EXPECT_TRUE(Brakes.join("catalogue", "m",
                          {.Kind = policy::VerdictKind::Bad, .Reason = "r"}));
  Record.Phase = policy::MovePhase::TakenBack;
  Brakes.setRecord(Record);
  EXPECT_TRUE(Cuts.isCut("catalogue", "2"));
}

// Guards against a verdict on an earlier rollout that stops a later one.
TEST(MoveBrakes, IgnoresAVerdictOnAnotherRollout) {
  VersionCuts Cuts;
  MoveBrakes Brakes(Cuts, [](auto, auto, auto) {});
  Brakes.setRecord(shifting());
  EXPECT_FALSE(Brakes.join("catalogue", "earlier",
                           {.Kind = policy::VerdictKind::Bad, .Reason = "r"}));
  EXPECT_FALSE(Cuts.isCut("catalogue", "2"));
}

} // namespace
} // namespace magnolia::daemon
