#include "daemon/node/node.h"

#include "../support/test_node.h"

#include "settings/record/backend_record.h"
#include "settings/record/format_record.h"
#include "settings/record/record_key.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace magnolia::daemon {
namespace {

// Guards against a late heartbeat that arrives while a node starts, before it
// knows that its backend server has left, and brings the server into use again.
TEST(NodeStart, TheStoredReportIsKnownBeforeTheNodeListens) {
  settings::NodeSettings Settings = test::nodeSettings();
  Settings.LocalBackend = {.Address = "127.0.0.1", .Port = 80};
  const policy::BackendReport Left = {.Instance = "i-1",
                                      .Service = "stock",
                                      .Version = "1",
                                      .Address = "127.0.0.1",
                                      .Port = 80,
                                      .Stage = policy::BackendStage::Left,
                                      .Born = 7};
  store::WatchResult Known;
  Known.Events = {
      {.Key = settings::backendKey("127.0.0.1", 80),
       .Value = settings::formatBackend(Left),
       .ModRevision = 3},
      {.Key = settings::contactKey(Settings.Zone, 0),
       .Value = settings::formatContact(
           {.Address = "127.0.0.1", .GossipPort = 1, .Zone = Settings.Zone}),
       .ModRevision = 2}};
  Known.StoreRevision = 3;
  Node Running(std::move(Settings), test::Key, nativeDialect(), Known);
  policy::Error LastError;
  ASSERT_TRUE(Running.start(LastError)) << LastError.Detail;
  EXPECT_EQ(Running.Backend.state().Instance, "i-1");
  EXPECT_TRUE(Running.Backend.state().Draining);
  EXPECT_FALSE(Running.Backend.state().Present);
}

// Guards against a limit of hedges that a running node reads and does not
// apply, and against an explanation that the node does not serve.
TEST(NodeReload, LimitOfHedgesIsApplied) {
  settings::NodeSettings Settings = test::nodeSettings();
  Settings.Static = {{.Service = "stock",
                      .Address = "127.0.0.1",
                      .PeerPort = Settings.PeerPort,
                      .Zone = "a",
                      .Version = "1"}};
  test::TestNode Tested(Settings);
  const std::string Asked = "GET /-/where?host=stock HTTP/1.1\r\n\r\n";
  EXPECT_THAT(Tested.ask(Asked), testing::HasSubstr(R"("percent":0)"));
  Settings.HedgePercent = 7;
  Tested.Running.reload(Settings);
  EXPECT_THAT(Tested.ask(Asked), testing::HasSubstr(R"("percent":7)"));
  EXPECT_THAT(Tested.ask("GET /-/where?hots=stock HTTP/1.1\r\n\r\n"),
              testing::StartsWith("HTTP/1.1 400"));
}

} // namespace
} // namespace magnolia::daemon
