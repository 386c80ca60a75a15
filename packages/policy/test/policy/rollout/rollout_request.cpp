#include "policy/rollout/rollout_request.h"

#include "policy/rollout/advance.h"
#include "policy/rollout/rollout_options.h"
#include "policy/rollout/rollout_stats.h"

#include <gtest/gtest.h>

#include <vector>

namespace magnolia::policy {
namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration Window = std::chrono::seconds(14);
constexpr Duration Tick = std::chrono::milliseconds(50);

RolloutRequest order() {
  return {
      .Service = "stock", .ToVersion = "v2", .Window = Window, .Revision = 7};
}

Member member(NodeId Node, const char *Version) {
  return {.Node = Node, .Service = "stock", .Version = Version};
}

// Runs the rollout to its end. In each tick the new version gets this many
// responses multiplied by its share. Returns the traffic that the new version
// received as a fraction of the traffic of the whole window.
double runToEnd(RolloutRecord &Record, double ResponsesPerTick) {
  const RolloutOptions Options = optionsFor(Record);
  RolloutStats Stats;
  double Responses = 0;
  double Exposed = 0;
  for (TimePoint Now = Record.Start; Now <= Record.Deadline; Now += Tick) {
    if (Stats.RolloutId != Record.Id || Stats.Step != Record.Step) {
      Responses = 0;
    }
    Stats.RolloutId = Record.Id;
    Stats.Step = Record.Step;
    Responses += ResponsesPerTick * Record.Share;
    Stats.Routes.assign(1, {});
    Stats.Routes[0].New.Requests = static_cast<std::uint64_t>(Responses);
    Exposed += Record.Share *
               static_cast<double>(Tick / std::chrono::milliseconds(1)) /
               static_cast<double>(Window / std::chrono::milliseconds(1));
    if (auto Next = advance(Record, Stats, Now, Options)) {
      Record = *Next;
    }
  }
  return Exposed;
}

// Guards against a rollout of a few seconds whose schedule does not fit its
// window at low traffic.
TEST(PlanRollout, ShortRolloutEndsInItsWindow) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(2, "v1"),
                                     member(3, "v2")};
  auto Record = planRequest(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  EXPECT_EQ(Record->FromVersion, "v1");
  constexpr double LowTrafficResponsesPerTick = 1.5;
  (void)runToEnd(*Record, LowTrafficResponsesPerTick);
  EXPECT_EQ(Record->Phase, RolloutPhase::Done);
  EXPECT_LE(Record->EndedAt, Start + Window);
}

// Guards against a bad version that fails late and gets more than 10% of the
// traffic while the rollout waits for responses: if nodes restart one after the
// other, the collected responses are lost each time.
TEST(PlanRollout, RolloutWithoutResponsesExposesUnderATenth) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  auto Record = planRequest(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  constexpr double TooFewPerTick = 0.2;
  const double Exposed = runToEnd(*Record, TooFewPerTick);
  EXPECT_EQ(Record->Phase, RolloutPhase::RolledBack);
  EXPECT_LT(Exposed, 0.1);
}

// Guards against a rollout that keeps a large share although it can no longer
// end in time, because its driver restarted during the fourth step and lost its
// statistics.
TEST(PlanRollout, RolloutThatCannotEndInTimeIsRolledBackAtOnce) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  auto Record = planRequest(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  const RolloutOptions Options = optionsFor(*Record);
  Record->Phase = RolloutPhase::Shifting;
  Record->Step = 3;
  Record->Share = Options.Steps[3].Share;
  Record->StepSince = Start + std::chrono::seconds(7);
  const RolloutStats None;
  TimePoint Now = Record->StepSince;
  std::optional<RolloutRecord> Next;
  while (!Next && Now < Record->Deadline) {
    Now += Tick;
    Next = advance(*Record, None, Now, Options);
  }
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Phase, RolloutPhase::RolledBack);
  // The three steps that follow no longer fit.
  EXPECT_LE(Now, latestDoneTime(*Record, Options) - 3 * Options.MinSoak + Tick);
}

// Guards against a version that fails a tenth of its requests under load: a few
// responses give no verdict, and at full share the old version has no responses
// to compare with.
TEST(PlanRollout, LargeShareNeedsAHealthyNewVersion) {
  struct Row {
    std::uint32_t Step;
    std::uint64_t Failures;
    RolloutPhase Phase;
    std::uint32_t NextStep;
  };
  constexpr std::uint64_t Responses = 40;
  const Row Rows[] = {{4, 4, RolloutPhase::RolledBack, 4},
                      {5, 4, RolloutPhase::RolledBack, 5},
                      {4, 1, RolloutPhase::Shifting, 5},
                      {6, 1, RolloutPhase::Done, 6}};
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  for (const Row &Next : Rows) {
    auto Record = planRequest(order(), nullptr, Fleet, Start);
    ASSERT_TRUE(Record);
    const RolloutOptions Options = optionsFor(*Record);
    Record->Phase = RolloutPhase::Shifting;
    Record->Step = Next.Step;
    Record->Share = Options.Steps[Next.Step].Share;
    Record->StepSince = Start + std::chrono::seconds(5);
    RolloutStats Stats;
    Stats.RolloutId = Record->Id;
    Stats.Step = Next.Step;
    Stats.OldBefore = {.Requests = 400, .Failures = 8};
    Stats.Routes.assign(1, {});
    Stats.Routes[0].New = {.Requests = Responses, .Failures = Next.Failures};
    const auto After =
        advance(*Record, Stats, Record->StepSince + Options.MinSoak, Options);
    ASSERT_TRUE(After);
    EXPECT_EQ(After->Phase, Next.Phase);
    EXPECT_EQ(After->Step, Next.NextStep);
  }
}

// Guards against a bad version that is completed because the old one failed
// often in a fault that ended before the last steps.
TEST(PlanRollout, FailuresOfAnEndedFaultDoNotExcuseTheNewVersion) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  auto Record = planRequest(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  const RolloutOptions Options = optionsFor(*Record);
  Record->Phase = RolloutPhase::Shifting;
  const VersionCounts OldPerStep[] = {{.Requests = 150, .Failures = 72},
                                      {.Requests = 150, .Failures = 30},
                                      {.Requests = 200, .Failures = 2},
                                      {.Requests = 50, .Failures = 1},
                                      {.Requests = 20, .Failures = 0}};
  RolloutStats Stats;
  std::uint64_t Window = 0;
  for (const VersionCounts &Old : OldPerStep) {
    Record->Share = Options.Steps[Record->Step].Share;
    StatsReport Report{.Node = 7,
                       .Run = 1,
                       .RolloutId = Record->Id,
                       .Window = ++Window,
                       .Step = Record->Step};
    Report.Routes.assign(1, {.Route = "/a", .New = {}, .Old = Old});
    Report.Routes[0].New = {.Requests = 30, .Failures = 0};
    (void)addReport(Stats, *Record, Report, Start);
    ++Record->Step;
  }
  --Record->Step;
  Record->StepSince = Start + std::chrono::seconds(6);
  Stats.Routes[0].New.Failures = 5;
  const auto After =
      advance(*Record, Stats, Record->StepSince + Options.MinSoak, Options);
  ASSERT_TRUE(After);
  EXPECT_EQ(After->Phase, RolloutPhase::RolledBack);
}

// Guards against a version that fails under load and keeps all of the traffic
// until the end of the step, and against a rollback after few failures.
TEST(PlanRollout, FailuresAtALargeShareEndTheStepEarly) {
  struct Row {
    std::uint32_t Step;
    std::uint64_t Failures;
    bool RollsBack;
  };
  const Row Rows[] = {{5, 4, true}, {5, 2, false}, {2, 5, false}};
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  for (const Row &Next : Rows) {
    auto Record = planRequest(order(), nullptr, Fleet, Start);
    ASSERT_TRUE(Record);
    const RolloutOptions Options = optionsFor(*Record);
    Record->Phase = RolloutPhase::Shifting;
    Record->Step = Next.Step;
    Record->Share = Options.Steps[Next.Step].Share;
    Record->StepSince = Start + std::chrono::seconds(5);
    RolloutStats Stats;
    Stats.RolloutId = Record->Id;
    Stats.Step = Next.Step;
    Stats.OldBefore = {.Requests = 200, .Failures = 2};
    Stats.Routes.assign(1, {});
    Stats.Routes[0].New = {.Requests = 20, .Failures = Next.Failures};
    const auto After = advance(
        *Record, Stats, Record->StepSince + Options.MinSoak / 2, Options);
    EXPECT_EQ(After.has_value(), Next.RollsBack);
    EXPECT_TRUE(!After || After->Phase == RolloutPhase::RolledBack);
  }
}

// Guards against a second rollout for one request, and against a rollout from a
// version that no member serves.
TEST(PlanRollout, OneRolloutPerRequest) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  const auto Record = planRequest(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  EXPECT_FALSE(planRequest(order(), &*Record, Fleet, Start));
  RolloutRequest Later = order();
  Later.Revision = 9;
  EXPECT_TRUE(planRequest(Later, &*Record, Fleet, Start));
  const std::vector<Member> OnlyNew = {member(3, "v2")};
  EXPECT_FALSE(planRequest(order(), nullptr, OnlyNew, Start));
}

// First revision of the epoch that follows a restoration from a copy.
constexpr std::uint64_t NextEpoch = std::uint64_t{1} << 40;

RolloutRequest again(std::uint64_t Counter) {
  RolloutRequest Requested = order();
  Requested.Revision = NextEpoch + Counter;
  return Requested;
}

// Guards against a rollout that starts anew, with a version that was rolled
// back, because the operator wrote its request again after a loss of the store
// or because the copy holds the request at its old revision.
TEST(PlanRollout, RequestThatIsWrittenAgainIsTheSameOne) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  auto Record = planRequest(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  Record->Phase = RolloutPhase::RolledBack;
  constexpr std::uint64_t Counters[] = {3, 7, 90};
  for (const std::uint64_t Counter : Counters) {
    EXPECT_FALSE(planRequest(again(Counter), &*Record, Fleet, Start))
        << Counter;
  }
}

// Guards against a new request that is taken for an earlier one.
TEST(PlanRollout, OtherRequestAfterALossIsANewOne) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2"),
                                     member(4, "v3")};
  const auto Record = planRequest(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  RolloutRequest Other = again(90);
  Other.ToVersion = "v3";
  EXPECT_TRUE(planRequest(Other, &*Record, Fleet, Start));
  EXPECT_FALSE(mayBeOutdated(Other, *Record));
  // Within one epoch the revision alone tells requests apart.
  RolloutRequest Repeated = order();
  Repeated.Revision = 8;
  EXPECT_TRUE(planRequest(Repeated, &*Record, Fleet, Start));
}

// Guards against a rollout to the version before, which the copy still
// requests until the operator has written the last request again.
TEST(PlanRollout, RequestInTheCopyMayBeOutdated) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  const auto Record = planRequest(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  RolloutRequest Earlier = again(5);
  Earlier.ToVersion = "v1";
  EXPECT_TRUE(mayBeOutdated(Earlier, *Record));
  EXPECT_FALSE(mayBeOutdated(again(5), *Record));
}

} // namespace
} // namespace magnolia::policy
