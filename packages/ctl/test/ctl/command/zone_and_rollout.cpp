#include "ctl/command/run_command.h"
#include "ctl/fleet.h"
#include "settings/record/format_record.h"
#include "settings/record/parse_record.h"

#include <gtest/gtest.h>

namespace magnolia::ctl {
namespace {

using standin::FaultMode;

class ZoneAndRollout : public testing::Test {
protected:
  ExitCode run(Command Selected, const std::string &Argument) {
    B.Run.Options.Selected = Selected;
    B.Run.Options.Arguments = {Argument};
    return runCommand(B.Run);
  }

  ExitCode startRollout(const std::string &To, const std::string &Deadline) {
    B.Run.Options.From = "v1";
    B.Run.Options.To = To;
    B.Run.Options.Deadline = Deadline;
    return run(Command::MoveStart, "catalogue");
  }

  [[nodiscard]] policy::RolloutRecord storedRollout() const {
    policy::Error Error;
    const auto Stored =
        settings::parseRollout(B.stored("moves/catalogue"), Error);
    EXPECT_TRUE(Stored) << Error.Detail;
    return Stored ? Stored->Rollout : policy::RolloutRecord{};
  }

  // Writes the stored rollout in another phase, as its driver does.
  void driveTo(policy::RolloutPhase Phase, double Share) const {
    settings::StoredRollout Next;
    Next.Rollout = storedRollout();
    Next.Rollout.Phase = Phase;
    Next.Rollout.Share = Share;
    Next.OperationId = "driver";
    B.write("moves/catalogue", settings::formatRollout(Next));
  }

  Bench B;
};

// Guards against a zone that is reported as out of service while a member still
// sends requests to it.
TEST_F(ZoneAndRollout, ZoneIsDoneOnlyWhenInEffectOnAllMembers) {
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::Done) << B.Stream.str();
  policy::Error Error;
  EXPECT_TRUE(settings::parseZone(B.stored("zones/z1"), Error)->Out);
  EXPECT_TRUE(B.printed("accepted at revision 1"));
  EXPECT_TRUE(B.printed("in force on 1 of 3 live members"));
  EXPECT_TRUE(B.printed("in force on 3 of 3 live members"));
  EXPECT_EQ(run(Command::ZoneIn, "z1"), ExitCode::Done);
  EXPECT_FALSE(settings::parseZone(B.stored("zones/z1"), Error)->Out);
}

TEST_F(ZoneAndRollout, AcceptedIsNotInEffect) {
  B.Nodes.Propagates = false;
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::NotInEffect);
  EXPECT_TRUE(B.printed("not yet in force on 127.0.0.1:7002"));
  B.Run.Options.Nodes.clear();
  EXPECT_EQ(run(Command::ZoneOut, "z2"), ExitCode::NotInEffect);
}

// Guards against a member that does not respond being counted as up to date.
TEST_F(ZoneAndRollout, SilentMemberIsNotInEffect) {
  B.Nodes.Unresponsive = {"127.0.0.1:7001"};
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::NotInEffect);
  EXPECT_TRUE(B.printed("not yet in force on 127.0.0.1:7001"));
}

// Guards against a change that is propagated by the store only.
TEST_F(ZoneAndRollout, ChangeIsPropagatedWhileTheStoreIsDown) {
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
TEST_F(ZoneAndRollout, RepeatedZoneChangeWritesNothing) {
  EXPECT_EQ(run(Command::ZoneIn, "z1"), ExitCode::Done);
  EXPECT_EQ(B.stored("zones/z1"), "");
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::Done);
  EXPECT_EQ(run(Command::ZoneOut, "z1"), ExitCode::Done);
  EXPECT_EQ(B.Server.counters().Calls["put"], 1U);
  EXPECT_TRUE(B.printed("by amina"));
}

// Guards against a misspelt zone name that is not reported.
TEST_F(ZoneAndRollout, UnknownZoneIsReported) {
  run(Command::ZoneOut, "z9");
  EXPECT_TRUE(B.printed("no member is in zone z9; zones: z1"));
}

// Guards against an operator who overwrites another operator's change
// unnoticed.
TEST_F(ZoneAndRollout, RacingOperatorIsToldWhatChanged) {
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

TEST_F(ZoneAndRollout, OutageIsReportedWithItsOutcome) {
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
       {FaultMode::LoseResponses, milliseconds(0), 1},
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

TEST_F(ZoneAndRollout, RolloutStartsOnce) {
  EXPECT_EQ(startRollout("v2", "+30m"), ExitCode::Done) << B.Stream.str();
  const policy::RolloutRecord Rollout = storedRollout();
  EXPECT_EQ(Rollout.Phase, policy::RolloutPhase::Planned);
  EXPECT_EQ(Rollout.Deadline - Rollout.Start, std::chrono::minutes(30));
  EXPECT_EQ(startRollout("v2", "+30m"), ExitCode::Done);
  EXPECT_EQ(storedRollout(), Rollout);
  EXPECT_EQ(startRollout("v3", "+30m"), ExitCode::Conflict);
  EXPECT_EQ(storedRollout(), Rollout);
  EXPECT_EQ(run(Command::MoveStatus, "catalogue"), ExitCode::Done);
  EXPECT_TRUE(B.printed("planned, share 0, deadline in 179"));
}

// Guards against a rollout that cannot end before its deadline.
TEST_F(ZoneAndRollout, RolloutNeedsAUsableDeadline) {
  for (const char *Deadline : {"+10s", "2020-01-01T00:00:00Z", "+800h"}) {
    EXPECT_EQ(startRollout("v2", Deadline), ExitCode::Failed) << Deadline;
  }
  EXPECT_EQ(startRollout("v2", "soon"), ExitCode::Usage);
  EXPECT_EQ(startRollout("v1", "+30m"), ExitCode::Usage);
  EXPECT_EQ(B.stored("moves/catalogue"), "");
}

// Guards against a rollback that fails because the driver of the rollout writes
// a step at the same time.
TEST_F(ZoneAndRollout, RollBackSucceedsAgainstARacingDriver) {
  startRollout("v2", "+30m");
  B.beforeNextPut([this] { driveTo(policy::RolloutPhase::Shifting, 0.02); });
  EXPECT_EQ(run(Command::MoveTakeBack, "catalogue"), ExitCode::Done)
      << B.Stream.str();
  EXPECT_EQ(storedRollout().Phase, policy::RolloutPhase::RolledBack);
  EXPECT_EQ(storedRollout().EndReason, "taken back by amina");
  EXPECT_EQ(run(Command::MoveTakeBack, "catalogue"), ExitCode::Done);
}

// Guards against a completed rollout that is recorded as rolled back.
TEST_F(ZoneAndRollout, CompletedRolloutIsNotRolledBack) {
  startRollout("v2", "+30m");
  B.beforeNextPut([this] { driveTo(policy::RolloutPhase::Done, 1); });
  EXPECT_EQ(run(Command::MoveTakeBack, "catalogue"), ExitCode::Conflict);
  EXPECT_EQ(storedRollout().Phase, policy::RolloutPhase::Done);
  EXPECT_EQ(run(Command::MoveTakeBack, "other"), ExitCode::Failed);
}

} // namespace
} // namespace magnolia::ctl
