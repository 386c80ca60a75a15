#include "daemon/dump/where.h"

#include "../support/sidecar_fixture.h"

#include "daemon/entry/entry.h"
#include "daemon/net/clock.h"
#include "policy/route/feedback.h"
#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"

#include <nlohmann/json.hpp>

namespace magnolia::daemon {
namespace {

using Json = nlohmann::json;

constexpr policy::NodeId First = 1;
constexpr policy::NodeId Second = 2;

struct WhereRow {
  const char *Failure;
  const char *Target;
  bool Accepted;
};

TEST(ParseWhere, Table) {
  const WhereRow Rows[] = {
      {"a query that is not decoded", "/-/where?host=h&path=%2Fa%3Fb", true},
      {"a name that is ignored", "/-/where?hots=h", false},
      {"two values of which one is ignored", "/-/where?host=a&host=b", false},
      {"half an encoding", "/-/where?path=%2", false},
      {"an encoding that is no number", "/-/where?path=%zz", false},
      {"a name without a value", "/-/where?host", false},
      {"a nested call that is not read", "/-/where?nested=true", true},
      {"a nested call that is taken for another", "/-/where?nested=yes", false},
  };
  for (const WhereRow &Row : Rows) {
    EXPECT_EQ(parseWhere(Row.Target).has_value(), Row.Accepted) << Row.Failure;
  }
  EXPECT_EQ(parseWhere(Rows[0].Target)->Path, "/a?b");
  EXPECT_TRUE(parseWhere("/-/where?nested=true")->Nested);
  EXPECT_FALSE(parseWhere("/-/where?path=" + std::string(5000, 'a')));
}

// An entry node with two backend servers of one service.
struct Where : test::SidecarFixture {
  Where() {
    Routed.RoutesByHost = true;
    Routed.Headers.RetryAfter = "Retry-After";
  }

  void publish(bool FirstIsOut) {
    policy::Error LastError;
    const auto Change = settings::compareRouting(
        {}, "{\"version\":7}\n[\"h.example\",\"/known/\",\"r\",\"stock\"]",
        LastError);
    ASSERT_TRUE(Change) << LastError.Detail;
    ClusterView View;
    View.Routing = std::make_shared<const RoutingTable>(
        *withChange({}, *Change, LastError));
    ServiceView Service{.Name = "stock"};
    Service.Backends = {{.Node = First, .Zone = "a", .Version = "1"},
                        {.Node = Second, .Zone = "b", .Version = "1"}};
    View.Services["stock"] = std::make_shared<const ServiceView>(Service);
    if (FirstIsOut) {
      View.ZonesOut.insert("a");
    }
    Views.publish(std::move(View));
  }

  Json explain(const char *Path) {
    return Json::parse(explainWhere(Node, {.Host = "h.example", .Path = Path}));
  }

  std::shared_ptr<ServiceRuntime> runtime() {
    return Node.Services.find(*Views.current(), "stock", now());
  }

  Dialect Routed = nativeDialect();
  ViewHolder Views;
  ShareOverrides Overrides;
  ResponseRecorder Responses;
  PeerPool Peers{{}};
  Entry Node{{.Node = First,
              .Deadline = std::chrono::seconds(1),
              .DeadlineMaximum = std::chrono::seconds(1),
              .Speaks = &Routed},
             {.Views = Views,
              .Overrides = Overrides,
              .Responses = Responses,
              .Peers = Peers,
              .Own = Own,
              .Counts = Counts}};
};

// Guards against an explanation that differs from where the request would go.
TEST_F(Where, NamesTheChoiceAndTheReasonsAgainstTheOthers) {
  publish(true);
  const Json Answer = explain("/known/a");
  EXPECT_EQ(Answer["choice"]["node"], Second);
  ASSERT_EQ(Answer["candidates"].size(), 2U);
  EXPECT_EQ(Answer["candidates"][0]["state"], "zone_out");
  EXPECT_EQ(Answer["candidates"][1]["state"], "ok");
  EXPECT_EQ(Answer["candidates"][1]["report_age_ms"], nullptr);
  EXPECT_EQ(Answer["routing_table"]["version"], 7);
  EXPECT_EQ(Answer["split"][0]["service"], "stock");
  EXPECT_FALSE(Answer.contains("rejection"));
}

// Guards against a choice of the local backend server that its sidecar would
// reject.
TEST_F(Where, AsksTheOwnSidecar) {
  publish(false);
  policy::onReport(runtime()->Route, Second, {.Draining = true}, now());
  EXPECT_EQ(explain("/known/a")["sidecar"]["rule"], "NoBackendServer");
  attach(1);
  EXPECT_EQ(explain("/known/a")["sidecar"], "run");
}

// Guards against a rule that rejects requests and is not named.
TEST_F(Where, NamesTheRuleThatRejects) {
  EXPECT_EQ(explain("/known/a")["rejection"]["rule"], "NoBackendServer");
  publish(false);
  EXPECT_EQ(explain("/other")["rejection"]["rule"], "UnknownService");
  Own.drainNode();
  policy::onReport(runtime()->Route, Second, {.Draining = true}, now());
  const Json Answer = explain("/known/a");
  EXPECT_EQ(Answer["rejection"]["rule"], "Draining");
  EXPECT_TRUE(Answer["rejection"].contains("retry_after_s"));
}

// Guards against an explanation that changes the state of traffic.
TEST_F(Where, LeavesTheStateUnchanged) {
  publish(false);
  const auto Runtime = runtime();
  (void)policy::onDispatch(Runtime->Route, First, now());
  const std::uint64_t Admitted = Runtime->Overload.Admitted;
  for (int I = 0; I < 10; ++I) {
    (void)explain("/known/a");
  }
  EXPECT_EQ(Runtime->Route.Counters.Chosen, 0U);
  EXPECT_EQ(Runtime->Overload.Admitted, Admitted);
  EXPECT_EQ(Runtime->Hedges.Requests, 0U);
  EXPECT_EQ(Runtime->Route.Candidates[0].InFlight, 1U);
  EXPECT_EQ(Runtime->Route.Candidates[1].InFlight, 0U);
}

} // namespace
} // namespace magnolia::daemon
