#include "policy/move/order.h"

#include "policy/move/advance.h"
#include "policy/move/move_evidence.h"
#include "policy/move/move_options.h"

#include <gtest/gtest.h>

#include <vector>

namespace magnolia::policy {
namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration Window = std::chrono::seconds(14);
constexpr Duration Tick = std::chrono::milliseconds(50);

MoveOrder order() {
  return {
      .Service = "stock", .ToVersion = "v2", .Window = Window, .Revision = 7};
}

Member member(NodeId Node, const char *Version) {
  return {.Node = Node, .Service = "stock", .Version = Version};
}

// Plays the move to its end; each tick the new version gets this many answers
// for each unit of share. Returns the traffic that it got, in parts of the
// traffic of the whole window.
double play(MoveRecord &Record, double AnswersPerTick) {
  const MoveOptions Options = optionsFor(Record);
  MoveEvidence Evidence;
  double Answers = 0;
  double Exposed = 0;
  for (TimePoint Now = Record.Start; Now <= Record.Deadline; Now += Tick) {
    if (Evidence.MoveId != Record.Id || Evidence.Step != Record.Step) {
      Answers = 0;
    }
    Evidence.MoveId = Record.Id;
    Evidence.Step = Record.Step;
    Answers += AnswersPerTick * Record.Share;
    Evidence.Routes.assign(1, {});
    Evidence.Routes[0].New.Requests = static_cast<std::uint64_t>(Answers);
    Exposed += Record.Share *
               static_cast<double>(Tick / std::chrono::milliseconds(1)) /
               static_cast<double>(Window / std::chrono::milliseconds(1));
    if (auto Next = advance(Record, Evidence, Now, Options)) {
      Record = *Next;
    }
  }
  return Exposed;
}

// Guards against a move of seconds whose schedule does not fit its window at
// the traffic of a calm day.
TEST(PlanOrder, ShortMoveEndsInItsWindow) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(2, "v1"),
                                     member(3, "v2")};
  auto Record = planOrder(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  EXPECT_EQ(Record->FromVersion, "v1");
  constexpr double CalmAnswersPerTick = 1.5;
  (void)play(*Record, CalmAnswersPerTick);
  EXPECT_EQ(Record->Phase, MovePhase::Done);
  EXPECT_LE(Record->EndedAt, Start + Window);
}

// Guards against a bad version that shows itself late and meanwhile gets more
// than a tenth of the traffic because the move waits for evidence: with nodes
// restarted one after the other, the collected answers are lost each time.
TEST(PlanOrder, MoveWithoutEvidenceExposesUnderATenth) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  auto Record = planOrder(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  constexpr double TooFewPerTick = 0.2;
  const double Exposed = play(*Record, TooFewPerTick);
  EXPECT_EQ(Record->Phase, MovePhase::TakenBack);
  EXPECT_LT(Exposed, 0.1);
}

// Guards against a large share that is held although the move can no longer end
// in time: the driver was restarted in the middle of the fourth step and its
// evidence was lost.
TEST(PlanOrder, MoveThatCannotEndInTimeIsTakenBackAtOnce) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  auto Record = planOrder(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  const MoveOptions Options = optionsFor(*Record);
  Record->Phase = MovePhase::Shifting;
  Record->Step = 3;
  Record->Share = Options.Steps[3].Share;
  Record->StepSince = Start + std::chrono::seconds(7);
  const MoveEvidence None;
  TimePoint Now = Record->StepSince;
  std::optional<MoveRecord> Next;
  while (!Next && Now < Record->Deadline) {
    Now += Tick;
    Next = advance(*Record, None, Now, Options);
  }
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Phase, MovePhase::TakenBack);
  // The three steps behind it no longer fit.
  EXPECT_LE(Now, lastDone(*Record, Options) - 3 * Options.MinSoak + Tick);
}

// Guards against a version that fails a tenth of its requests under load: few
// answers are no verdict, and at the whole share the old one has none to
// compare with.
TEST(PlanOrder, LargeShareNeedsAHealthyNewVersion) {
  struct Row {
    std::uint32_t Step;
    std::uint64_t Failures;
    MovePhase Phase;
    std::uint32_t NextStep;
  };
  constexpr std::uint64_t Answers = 40;
  const Row Rows[] = {{4, 4, MovePhase::TakenBack, 4},
                      {5, 4, MovePhase::TakenBack, 5},
                      {4, 1, MovePhase::Shifting, 5},
                      {6, 1, MovePhase::Done, 6}};
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  for (const Row &Next : Rows) {
    auto Record = planOrder(order(), nullptr, Fleet, Start);
    ASSERT_TRUE(Record);
    const MoveOptions Options = optionsFor(*Record);
    Record->Phase = MovePhase::Shifting;
    Record->Step = Next.Step;
    Record->Share = Options.Steps[Next.Step].Share;
    Record->StepSince = Start + std::chrono::seconds(5);
    MoveEvidence Evidence;
    Evidence.MoveId = Record->Id;
    Evidence.Step = Next.Step;
    Evidence.OldOfMove = {.Requests = 400, .Failures = 8};
    Evidence.Routes.assign(1, {});
    Evidence.Routes[0].New = {.Requests = Answers, .Failures = Next.Failures};
    const auto After = advance(*Record, Evidence,
                               Record->StepSince + Options.MinSoak, Options);
    ASSERT_TRUE(After);
    EXPECT_EQ(After->Phase, Next.Phase);
    EXPECT_EQ(After->Step, Next.NextStep);
  }
}

// Guards against a second move for one order, and against a move from a
// version that nobody serves.
TEST(PlanOrder, OneMoveForAnOrder) {
  const std::vector<Member> Fleet = {member(1, "v1"), member(3, "v2")};
  const auto Record = planOrder(order(), nullptr, Fleet, Start);
  ASSERT_TRUE(Record);
  EXPECT_FALSE(planOrder(order(), &*Record, Fleet, Start));
  MoveOrder Later = order();
  Later.Revision = 9;
  EXPECT_TRUE(planOrder(Later, &*Record, Fleet, Start));
  const std::vector<Member> OnlyNew = {member(3, "v2")};
  EXPECT_FALSE(planOrder(order(), nullptr, OnlyNew, Start));
}

} // namespace
} // namespace magnolia::policy
