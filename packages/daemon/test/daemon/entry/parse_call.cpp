#include "daemon/entry/parse_call.h"

#include "daemon/entry/entry.h"
#include "daemon/net/clock.h"
#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"

#include <gtest/gtest.h>

#include <memory>

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;

// An entry node that selects the service by host and path.
struct RoutedCall : testing::Test {
  RoutedCall() { Routed.RoutesByHost = true; }

  void publish(bool Outdated) {
    policy::Error LastError;
    const auto Change = settings::compareRouting(
        {},
        "{\"version\":7}\n[\"h.example\",\"/known/\",\"r\",\"stock\"]\n"
        "[\"h.example\",\"/read/\",\"r\",\"stock\",true]",
        LastError);
    ASSERT_TRUE(Change) << LastError.Detail;
    ClusterView View;
    View.Routing = std::make_shared<const RoutingTable>(
        *withChange({}, *Change, LastError));
    View.RoutingOutdated = Outdated;
    View.Services["stock"] =
        std::make_shared<const ServiceView>(ServiceView{.Name = "stock"});
    Views.publish(std::move(View));
  }

  // Returns the kind of the error response, or nothing if a route matches.
  std::optional<ErrorKind> rejection(const char *Path) {
    HttpRequest Request;
    Request.Method = "GET";
    Request.Target = Path;
    Request.Headers = {{"Host", "h.example"}};
    policy::Error LastError;
    return parseCall(Node, std::move(Request), now(), LastError)
               ? std::nullopt
               : std::optional(LastError.Kind);
  }

  Dialect Routed = nativeDialect();
  ViewHolder Views;
  ShareOverrides Overrides;
  ResponseRecorder Responses;
  PeerPool Peers{{}};
  LocalBackend Backend;
  Metrics Counts;
  Sidecar Own{{.Speaks = &Routed}, Backend, Counts};
  Entry Node{{.Deadline = std::chrono::seconds(1),
              .DeadlineMaximum = std::chrono::seconds(1),
              .Speaks = &Routed},
             {.Views = Views,
              .Overrides = Overrides,
              .Responses = Responses,
              .Peers = Peers,
              .Own = Own,
              .Counts = Counts}};
};

// Guards against a final 404 for a route that a newer table already has: only a
// node with the newest table can tell that a route does not exist.
TEST_F(RoutedCall, MissingRouteIsRetryableWhileANewerTableExists) {
  publish(false);
  EXPECT_EQ(rejection("/added/"), ErrorKind::UnknownService);
  EXPECT_EQ(rejection("/known/"), std::nullopt);
  publish(true);
  EXPECT_EQ(rejection("/added/"), ErrorKind::ConfigurationOutdated);
  EXPECT_EQ(rejection("/known/"), std::nullopt);
  EXPECT_TRUE(policy::errorEntry(ErrorKind::ConfigurationOutdated).Retryable);
}

// Guards against requests that run beside others of their connection although
// their route is not idempotent, or wait although it is, whatever the method.
TEST_F(RoutedCall, OnlyIdempotentRoutesOverlap) {
  const auto Overlaps = [this](const char *Target) {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Target = Target;
    Request.Headers = {{"Host", "h.example:80"}};
    return mayOverlap(Node, Request);
  };
  EXPECT_FALSE(Overlaps("/read/1"));
  publish(false);
  EXPECT_TRUE(Overlaps("/read/1?a=b"));
  EXPECT_TRUE(Overlaps("http://h.example/read/1"));
  EXPECT_FALSE(Overlaps("/known/1"));
  EXPECT_FALSE(Overlaps("/missing/"));
  EXPECT_FALSE(Overlaps("no path"));
}

} // namespace
} // namespace magnolia::daemon
