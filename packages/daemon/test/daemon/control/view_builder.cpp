#include "daemon/control/view_builder.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace magnolia::daemon {
namespace {

using std::chrono::seconds;

policy::Member member(policy::NodeId Node, std::string Version,
                      policy::MemberState State = policy::MemberState::Alive) {
  return {.Node = Node,
          .Address = "127.0.0.1",
          .PeerPort = 7000,
          .Region = "r1",
          .Zone = "z1",
          .Service = "catalogue",
          .Version = std::move(Version),
          .Run = 1,
          .State = State};
}

struct RolloutCase {
  const char *Guards;
  policy::RolloutPhase Phase;
  bool PastDeadline;
  std::vector<std::string> Serving;
  double Share;
};

class RolloutPhases : public testing::TestWithParam<RolloutCase> {};

TEST_P(RolloutPhases, DecideWhichVersionsServe) {
  const RolloutCase &Case = GetParam();
  SCOPED_TRACE(Case.Guards);
  FleetRecords Records;
  Records.Services["catalogue"] = {.Service = "catalogue"};
  Records.Rollouts["catalogue"] = {
      .Service = "catalogue",
      .FromVersion = "1",
      .ToVersion = "2",
      .Id = "m",
      .Deadline = policy::TimePoint(seconds(100)),
      .Phase = Case.Phase,
      .Share = Case.Phase == policy::RolloutPhase::Shifting ? 0.25 : 0};
  const std::vector<policy::Member> Members = {member(1, "1"), member(2, "2")};
  const ClusterView View = buildView(
      {.Self = Members[0],
       .Members = Members,
       .Records = Records,
       .SteadyNow = policy::TimePoint(seconds(1)),
       .WallNow = policy::TimePoint(seconds(Case.PastDeadline ? 101 : 99))});
  const ServiceView &Service = *View.Services.at("catalogue");
  std::vector<std::string> Serving;
  for (const BackendEndpoint &Endpoint : Service.Backends) {
    Serving.push_back(Endpoint.Version);
  }
  EXPECT_EQ(Serving, Case.Serving);
  EXPECT_DOUBLE_EQ(Service.NewShare, Case.Share);
}

INSTANTIATE_TEST_SUITE_P(
    ViewBuilder, RolloutPhases,
    testing::Values(
        RolloutCase{"a new version that serves before its rollout starts",
                    policy::RolloutPhase::Planned,
                    false,
                    {"1"},
                    0},
        RolloutCase{"a rollout in progress without its new version",
                    policy::RolloutPhase::Shifting,
                    false,
                    {"1", "2"},
                    0.25},
        RolloutCase{"a rollout that continues after its deadline",
                    policy::RolloutPhase::Shifting,
                    true,
                    {"1", "2"},
                    0},
        RolloutCase{"an old version that serves after the rollout is done",
                    policy::RolloutPhase::Done,
                    false,
                    {"2"},
                    0},
        RolloutCase{"a new version that serves after its rollback",
                    policy::RolloutPhase::RolledBack,
                    false,
                    {"1"},
                    0}));

// Guards against traffic to members that are gone, and against the removal of
// members that are only suspected: the routing reacts to those sooner.
TEST(ViewBuilder, LeavesOutUnreachableMembers) {
  FleetRecords Records;
  Records.Services["catalogue"] = {.Service = "catalogue"};
  const std::vector<policy::Member> Members = {
      member(1, "1"), member(2, "1", policy::MemberState::Suspect),
      member(3, "1", policy::MemberState::Unreachable),
      member(4, "1", policy::MemberState::Left)};
  const ClusterView View =
      buildView({.Self = Members[0], .Members = Members, .Records = Records});
  ASSERT_EQ(View.Services.at("catalogue")->Backends.size(), 2U);
  EXPECT_EQ(View.Services.at("catalogue")->Backends[1].Node, 2U);
}

// Guards against traffic to a new version that was started alongside the old
// one before a rollout was recorded.
TEST(ViewBuilder, ServesTheVersionOfTheServiceWithoutARollout) {
  FleetRecords Records;
  Records.Services["catalogue"] = {.Service = "catalogue", .Version = "1"};
  const std::vector<policy::Member> Members = {member(1, "1"), member(2, "2")};
  const ClusterView View =
      buildView({.Self = Members[0], .Members = Members, .Records = Records});
  ASSERT_EQ(View.Services.at("catalogue")->Backends.size(), 1U);
  EXPECT_EQ(View.Services.at("catalogue")->Backends[0].Version, "1");
}

// Guards against a limit of hedges in a service file that is ignored.
TEST(ViewBuilder, KeepsTheHedgePercentOfTheService) {
  FleetRecords Records;
  Records.Services["catalogue"] = {.Service = "catalogue", .HedgePercent = 3};
  Records.Services["stock"] = {.Service = "stock"};
  const ClusterView View =
      buildView({.Self = member(1, "1"), .Members = {}, .Records = Records});
  EXPECT_EQ(View.Services.at("catalogue")->HedgePercent, 3U);
  EXPECT_EQ(View.Services.at("stock")->HedgePercent, std::nullopt);
}

// Guards against traffic to a zone that is out of service.
TEST(ViewBuilder, ListsZonesOutOfService) {
  FleetRecords Records;
  Records.Zones["z1"].Record = {.Zone = "z1", .Out = true, .Revision = 3};
  const policy::Member Self = member(1, "1");
  const ClusterView View =
      buildView({.Self = Self, .Members = {}, .Records = Records});
  EXPECT_TRUE(View.ZonesOut.contains("z1"));
}

} // namespace
} // namespace magnolia::daemon
