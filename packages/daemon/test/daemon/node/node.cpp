#include "daemon/node/node.h"

#include "../support/test_node.h"

#include "settings/record/backend_record.h"
#include "settings/record/format_record.h"
#include "settings/record/record_key.h"

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

} // namespace
} // namespace magnolia::daemon
