#include "daemon/control/control_thread.h"

#include "../support/test_node.h"
#include "daemon/control/control_options.h"
#include "daemon/node/node_options.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/view/local_backend.h"
#include "daemon/view/response_recorder.h"
#include "daemon/view/share_overrides.h"
#include "daemon/view/view_holder.h"
#include "settings/record/record_key.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::daemon {
namespace {

constexpr std::chrono::seconds StartTimeout{10};

// Control thread that starts with the given events of the store.
struct StartedControl {
  explicit StartedControl(std::vector<store::WatchEvent> Events) {
    ControlOptions Options;
    Options.Self.Node = 1;
    Options.Self.Address = "127.0.0.1";
    Options.Self.GossipPort = test::freePort();
    Options.Self.ControlPort = test::freePort();
    Options.Self.Region = "r";
    Options.Self.Zone = "a";
    Options.Key = test::Key;
    // The contact of the zone exists, so no store is needed to write it.
    Events.push_back({.Key = settings::contactKey("a", 0), .Value = "{}"});
    Options.StartRecords =
        store::WatchResult{.Events = std::move(Events), .StoreRevision = 9};
    policy::Error LastError;
    Running = ControlThread::start(std::move(Options),
                                   {.Views = Views,
                                    .Responses = Responses,
                                    .Backend = Backend,
                                    .Overrides = Overrides,
                                    .Own = Own},
                                   LastError);
    EXPECT_TRUE(Running) << LastError.Detail;
  }

  // Waits for the first table in a view. Each dump() waits for the control
  // thread.
  std::shared_ptr<const RoutingTable> routing() {
    const auto Until = std::chrono::steady_clock::now() + StartTimeout;
    while (!Views.current()->Routing &&
           std::chrono::steady_clock::now() < Until) {
      (void)Running->dump();
    }
    return Views.current()->Routing;
  }

  [[nodiscard]] int malformed() {
    return nlohmann::json::parse(Running->dump())["configuration"]["malformed"];
  }

  ViewHolder Views;
  ResponseRecorder Responses;
  LocalBackend Backend;
  ShareOverrides Overrides;
  Metrics Counts;
  Sidecar Own{{}, Backend, Counts};
  std::unique_ptr<ControlThread> Running;
};

store::WatchEvent table(store::Revision Revision, std::string Value) {
  return {.Key = std::string(settings::RoutingKey),
          .Value = std::move(Value),
          .ModRevision = Revision};
}

// Guards against a node that works through versions of the routing table which
// newer ones have already replaced, while requests wait: the version in the
// middle would be counted as malformed.
TEST(ControlThread, ParsesOnlyTheNewestOfSeveralTables) {
  StartedControl Control({table(3, "{\"version\":1}"), table(4, "unreadable"),
                          table(5, "{\"version\":3}")});
  const auto Routing = Control.routing();
  ASSERT_TRUE(Routing);
  EXPECT_EQ(Routing->Version, 3U);
  EXPECT_EQ(Control.malformed(), 0);
}

// Guards against a rejected table that is neither counted nor reported.
TEST(ControlThread, CountsARejectedTable) {
  StartedControl Control({table(3, "{\"version\":1}"), table(4, "unreadable")});
  const auto Until = std::chrono::steady_clock::now() + StartTimeout;
  while (Control.malformed() == 0 && std::chrono::steady_clock::now() < Until) {
  }
  EXPECT_EQ(Control.malformed(), 1);
  EXPECT_FALSE(Control.Views.current()->Routing);
}

// Guards against a node without a receiver of the usage report that keeps,
// sends or records counts for one.
TEST(ControlThread, WithoutAReceiverThereIsNoUsageReport) {
  StartedControl Control({table(3, "{\"version\":1}")});
  ASSERT_TRUE(Control.routing());
  EXPECT_FALSE(
      nlohmann::json::parse(Control.Running->dump()).contains("usage"));
  EXPECT_EQ(Control.Running->metrics().find("magnolia_usage"),
            std::string::npos);
  EXPECT_FALSE(usageSetup(settings::NodeSettings(), nativeDialect()));
  EXPECT_EQ(SidecarOptions().Runs, nullptr);
}

} // namespace
} // namespace magnolia::daemon
