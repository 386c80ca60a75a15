#include "ctl/command/run_command.h"
#include "ctl/fleet.h"
#include "settings/record/format_record.h"
#include "settings/record/parse_record.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace magnolia::ctl {
namespace {

constexpr const char *Catalogue = "[service]\nname = catalogue\n";

class Publish : public testing::Test {
protected:
  void SetUp() override {
    Root = std::filesystem::path(testing::TempDir()) /
           ("publish-" + std::to_string(B.Server.port()));
    std::filesystem::create_directories(Root);
    file("catalogue", Catalogue);
    file("orders", "[service]\nname = orders\n");
  }
  void TearDown() override { std::filesystem::remove_all(Root); }

  void file(const std::string &Name, const std::string &Text) const {
    std::ofstream(Root / (Name + ".service.ini")) << Text;
  }

  ExitCode run(Command Selected = Command::Publish) {
    B.Run.Options.Selected = Selected;
    B.Run.Options.Arguments = {Root.string()};
    return runCommand(B.Run);
  }

  Bench B;
  std::filesystem::path Root;
};

TEST_F(Publish, WritesOnlyWhatChanged) {
  EXPECT_EQ(run(), ExitCode::Done) << B.Stream.str();
  policy::Error Error;
  EXPECT_EQ(settings::parseService(B.stored("services/orders"), Error)->Service,
            "orders");
  EXPECT_EQ(B.Server.counters().Calls["put"], 2U);
  file("catalogue", std::string(Catalogue) + "[limits]\nretry_ratio = 0.2\n");
  EXPECT_EQ(run(), ExitCode::Done);
  EXPECT_EQ(B.Server.counters().Calls["put"], 3U);
  EXPECT_TRUE(B.printed("retry_ratio: 0.1 -> 0.2"));
  EXPECT_TRUE(B.printed("services/orders: unchanged at revision 2"));
}

// Guards against a partial publication if one file is invalid.
TEST_F(Publish, OneWrongFilePublishesNothing) {
  file("stock", "[service]\nname = stock\n[limits]\nretry_ratio = 7\n");
  EXPECT_EQ(run(), ExitCode::Failed);
  EXPECT_EQ(run(Command::Validate), ExitCode::Failed);
  EXPECT_TRUE(
      B.printed("stock.service.ini: section [limits]: key retry_ratio"));
  EXPECT_EQ(B.Server.counters().Calls["put"], 0U);
}

// Guards against a lost update between two operators, and against a conflict on
// one key that hides the outcome of the others.
TEST_F(Publish, RacingOperatorIsToldWhatChanged) {
  run();
  file("catalogue", std::string(Catalogue) + "[limits]\nretry_ratio = 0.2\n");
  file("orders", "[service]\nname = orders\n[limits]\nretry_ratio = 0.3\n");
  B.beforeNextPut([this] {
    B.write("services/catalogue",
            settings::formatService({.Service = "catalogue",
                                     .OperationId = "op-x",
                                     .Routes = {},
                                     .RetryRatio = 0.5}));
  });
  EXPECT_EQ(run(), ExitCode::Conflict);
  EXPECT_TRUE(B.printed("services/catalogue: conflict"));
  EXPECT_TRUE(B.printed("retry_ratio: 0.1 -> 0.5")) << B.Stream.str();
  EXPECT_TRUE(B.printed("retry_ratio: 0.1 -> 0.3"));
  policy::Error Error;
  EXPECT_EQ(
      settings::parseService(B.stored("services/catalogue"), Error)->RetryRatio,
      0.5);
}

// Guards against a publication that restarts a rolled-back rollout.
TEST_F(Publish, PlannedRolloutStartsOnce) {
  const std::string Rollout =
      std::string(Catalogue) + "[move]\nfrom = v1\nto = v2\ndeadline = +30m\n";
  file("catalogue", Rollout);
  EXPECT_EQ(run(), ExitCode::Done) << B.Stream.str();
  const std::string First = B.stored("moves/catalogue");
  EXPECT_NE(First, "");
  EXPECT_EQ(run(), ExitCode::Done);
  EXPECT_EQ(B.stored("moves/catalogue"), First);
  B.Run.Options.Selected = Command::MoveTakeBack;
  B.Run.Options.Arguments = {"catalogue"};
  EXPECT_EQ(runCommand(B.Run), ExitCode::Done);
  const std::string Ended = B.stored("moves/catalogue");
  EXPECT_EQ(run(), ExitCode::Failed);
  EXPECT_EQ(B.stored("moves/catalogue"), Ended);
  EXPECT_TRUE(B.printed("was taken back: taken back by amina"));
}

// Guards against output that a script cannot read.
TEST_F(Publish, JsonOutputIsOneDocument) {
  std::ostringstream Stream;
  Output Json(Stream, true);
  Context Run{B.Run.Options, B.Run.Store, B.Run.CallNode,
              B.Run.Now,     B.Run.Pause, B.Run.NewOperationId,
              Json};
  Run.Options.Selected = Command::Publish;
  Run.Options.Arguments = {Root.string()};
  EXPECT_EQ(runCommand(Run), ExitCode::Done);
  const auto Document = nlohmann::json::parse(Stream.str(), nullptr, false);
  ASSERT_TRUE(Document.is_object()) << Stream.str();
  EXPECT_EQ(Document["outcome"], "done");
  EXPECT_EQ(Document["live"], 3);
  EXPECT_EQ(Document["keys"].size(), 2U);
}

TEST_F(Publish, WaitChecksAllKeysOrTheNamedOnes) {
  run();
  B.Run.Options.Selected = Command::Wait;
  B.Run.Options.Arguments.clear();
  EXPECT_EQ(runCommand(B.Run), ExitCode::Done);
  B.Run.Options.Arguments = {"services/absent"};
  EXPECT_EQ(runCommand(B.Run), ExitCode::Failed);
  B.write("zones/z1", settings::formatZone({"z1", true, 9, "op-x", "karim"}));
  B.Run.Options.Arguments = {"zones/z1"};
  EXPECT_EQ(runCommand(B.Run), ExitCode::NotInEffect);
  B.Run.Options.Arguments = {"services/orders"};
  EXPECT_EQ(runCommand(B.Run), ExitCode::Done);
}

} // namespace
} // namespace magnolia::ctl
