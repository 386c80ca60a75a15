#include "ctl/command/run_command.h"
#include "ctl/fleet.h"
#include "settings/record/format_record.h"
#include "settings/record/parse_record.h"

#include <gtest/gtest.h>

namespace magnolia::ctl {
namespace {

using standin::FaultMode;

class ZoneAndMove : public testing::Test {
protected:
  ExitCode run(Command Selected, const std::string &Argument) {
    B.Run.Options.Selected = Selected;
    B.Run.Options.Arguments = {Argument};
    return runCommand(B.Run);
  }

  ExitCode startMove(const std::string &To, const std::string &Deadline) {
    B.Run.Options.From = "v1";
    B.Run.Options.To = To;
    B.Run.Options.Deadline = Deadline;
    return run(Command::MoveStart, "catalogue");
  }

  [[nodiscard]] policy::MoveRecord storedMove() const {
    policy::Error Error;
    const auto Stored = settings::parseMove(B.stored("moves/catalogue"), Error);
    EXPECT_TRUE(Stored) << Error.Detail;
    return Stored ? Stored->Move : policy::MoveRecord{};
  }

  // Writes the stored rollout in another phase, as its driver does.
  void driveTo(policy::MovePhase Phase, double Share) const {
    settings::StoredMove Next;
    Next.Move = storedMove();
    Next.Move.Phase = Phase;
    Next.Move.Share = Share;
    Next.OperationId = "driver";
    B.write("moves/catalogue", settings::formatMove(Next));
  }

  Bench B;
};

// Guards against a zone that is reported as out of service while a member still
// sends requests to it.
TEST_F(ZoneAndMove, ZoneIsDoneOnlyWhenInForceOnAllMembers) {
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::Done) << B.Stream.str();
  policy::Error Error;
  EXPECT_TRUE(settings::parseZone(B.stored("zones/z1"), Error)->Out);
  EXPECT_TRUE(B.printed("accepted at revision 1"));
  EXPECT_TRUE(B.printed("in force on 1 of 3 live members"));
  EXPECT_TRUE(B.printed("in force on 3 of 3 live members"));
  EXPECT_EQ(run(Command::ZoneIn, "z1"), ExitCode::Done);
  EXPECT_FALSE(settings::parseZone(B.stored("zones/z1"), Error)->Out);
}

TEST_F(ZoneAndMove, AcceptedIsNotInForce) {
  B.Nodes.Propagates = false;
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::NotInForce);
  EXPECT_TRUE(B.printed("not yet in force on 127.0.0.1:7002"));
  B.Run.Options.Nodes.clear();
  EXPECT_EQ(run(Command::ZoneOut, "z2"), ExitCode::NotInForce);
}

// Guards against a member that does not respond being counted as up to date.
TEST_F(ZoneAndMove, SilentMemberIsNotInForce) {
  B.Nodes.Unresponsive = {"127.0.0.1:7001"};
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::NotInForce);
  EXPECT_TRUE(B.printed("not yet in force on 127.0.0.1:7001"));
}

// Guards against a change that is propagated by the store only.
TEST_F(ZoneAndMove, ChangeIsPropagatedWhileTheStoreIsDown) {
  B.Run.Store.Put = [this,
                     Put = B.Run.Store.Put](const store::PutRequest &Request,
                                            std::chrono::milliseconds Timeout,
                                            store::StoreError &Error) {
    const auto Written = Put(Request, Timeout, Error);
    B.Server.setFault({FaultMode::Down});
    return Written;
  };
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::Done) << B.Stream.str();
}

// Guards against a repeated command that fails or writes a second time.
TEST_F(ZoneAndMove, RepeatedZoneChangeWritesNothing) {
  EXPECT_EQ(run(Command::ZoneIn, "z1"), ExitCode::Done);
  EXPECT_EQ(B.stored("zones/z1"), "");
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::Done);
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::Done);
  EXPECT_EQ(B.Server.counters().Calls["put"], 1U);
  EXPECT_TRUE(B.printed("by amina"));
}

// Guards against a misspelt zone name that is not reported.
TEST_F(ZoneAndMove, UnknownZoneIsReported) {
  run(Command::ZoneOut, "z9");
  EXPECT_TRUE(B.printed("no member is in zone z9; zones: z1"));
}

// Guards against an operator who overwrites another operator's change
// unnoticed.
TEST_F(ZoneAndMove, RacingOperatorIsToldWhatChanged) {
  run(Command::ZoneOut, "z1");
  B.beforeNextPut([this] {
    B.write("zones/z1", settings::formatZone({"z1", true, 9, "op-x", "karim"}));
  });
  EXPECT_EQ(run(Command::ZoneIn, "z1"), ExitCode::Conflict);
  EXPECT_TRUE(B.printed("from revision 1 to revision 2"));
  EXPECT_TRUE(B.printed("operator: \"amina\" -> \"karim\"")) << B.Stream.str();
  policy::Error Error;
  EXPECT_EQ(settings::parseZone(B.stored("zones/z1"), Error)->Operator,
            "karim");
}

struct OutageRow {
  const char *GuardsAgainst;
  standin::Fault Affects;
  bool AfterTheRead;
  ExitCode Expected;
};

TEST_F(ZoneAndMove, OutageIsReportedWithItsOutcome) {
  using std::chrono::milliseconds;
  const OutageRow Rows[] = {
      {"a change reported although the store is down",
       {FaultMode::Down},
       false,
       ExitCode::Failed},
      {"an outage between read and write",
       {FaultMode::Down},
       true,
       ExitCode::Failed},
      {"a lost response reported as a failure",
       {FaultMode::LoseAnswers, milliseconds(0), 1},
       true,
       ExitCode::Done},
      {"an unknown outcome reported as done or failed",
       {FaultMode::Slow, milliseconds(60'000)},
       true,
       ExitCode::OutcomeUnknown},
  };
  for (const OutageRow &Row : Rows) {
    Bench Fresh;
    Fresh.Run.Options.Selected = Command::ZoneOut;
    Fresh.Run.Options.Arguments = {"z1"};
    Fresh.Run.Options.Timeout = milliseconds(300);
    if (Row.AfterTheRead) {
      Fresh.beforeNextPut([&] { Fresh.Server.setFault(Row.Affects); });
    } else {
      Fresh.Server.setFault(Row.Affects);
    }
    EXPECT_EQ(runCommand(Fresh.Run), Row.Expected)
        << Row.GuardsAgainst << ": " << Fresh.Stream.str();
  }
}

TEST_F(ZoneAndMove, MoveStartsOnce) {
  EXPECT_EQ(startMove("v2", "+30m"), ExitCode::Done) << B.Stream.str();
  const policy::MoveRecord Move = storedMove();
  EXPECT_EQ(Move.Phase, policy::MovePhase::Planned);
  EXPECT_EQ(Move.Deadline - Move.Start, std::chrono::minutes(30));
  EXPECT_EQ(startMove("v2", "+30m"), ExitCode::Done);
  EXPECT_EQ(storedMove(), Move);
  EXPECT_EQ(startMove("v3", "+30m"), ExitCode::Conflict);
  EXPECT_EQ(storedMove(), Move);
  EXPECT_EQ(run(Command::MoveStatus, "catalogue"), ExitCode::Done);
  EXPECT_TRUE(B.printed("planned, share 0, deadline in 179"));
}

// Guards against a rollout that cannot end before its deadline.
TEST_F(ZoneAndMove, MoveNeedsAUsableDeadline) {
  for (const char *Deadline : {"+10s", "2020-01-01T00:00:00Z", "+800h"}) {
    EXPECT_EQ(startMove("v2", Deadline), ExitCode::Failed) << Deadline;
  }
  EXPECT_EQ(startMove("v2", "soon"), ExitCode::Usage);
  EXPECT_EQ(startMove("v1", "+30m"), ExitCode::Usage);
  EXPECT_EQ(B.stored("moves/catalogue"), "");
}

// Guards against a rollback that fails because the driver of the rollout writes
// a step at the same time.
TEST_F(ZoneAndMove, RollBackSucceedsAgainstARacingDriver) {
  startMove("v2", "+30m");
  B.beforeNextPut([this] { driveTo(policy::MovePhase::Shifting, 0.02); });
  EXPECT_EQ(run(Command::MoveTakeBack, "catalogue"), ExitCode::Done)
      << B.Stream.str();
  EXPECT_EQ(storedMove().Phase, policy::MovePhase::TakenBack);
  EXPECT_EQ(storedMove().EndReason, "taken back by amina");
  EXPECT_EQ(run(Command::MoveTakeBack, "catalogue"), ExitCode::Done);
}

// Guards against a completed rollout that is recorded as rolled back.
TEST_F(ZoneAndMove, CompletedMoveIsNotTakenBack) {
  startMove("v2", "+30m");
  B.beforeNextPut([this] { driveTo(policy::MovePhase::Done, 1); });
  EXPECT_EQ(run(Command::MoveTakeBack, "catalogue"), ExitCode::Conflict);
  EXPECT_EQ(storedMove().Phase, policy::MovePhase::Done);
  EXPECT_EQ(run(Command::MoveTakeBack, "other"), ExitCode::Failed);
}

} // namespace
} // namespace magnolia::ctl
