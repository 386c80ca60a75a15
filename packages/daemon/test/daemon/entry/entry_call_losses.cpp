#include "daemon/entry/entry_call.h"

#include "../support/scripted_backend.h"

#include "daemon/entry/parse_call.h"
#include "daemon/net/clock.h"
#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;
using policy::WorkloadSetting;

std::string_view parentOf(std::string_view Id) {
  const std::size_t Dot = Id.rfind('.');
  return Dot == std::string_view::npos ? std::string_view() : Id.substr(0, Dot);
}

Dialect routedDialect() {
  Dialect Made = nativeDialect();
  Made.RoutesByHost = true;
  Made.KeepsRequestId = true;
  Made.Headers.RequestId = "Request-Id";
  Made.Headers.Deadline = "Deadline-Ms";
  Made.ParentOf = parentOf;
  return Made;
}

// An entry node with routes to a service that has no backend server, so that an
// admitted request ends with NoBackendServer.
struct LossesAtEntry {
  LossesAtEntry(WorkloadSetting Setting, bool HasBulkRoute)
      : Node({.Node = OwnNode,
              .Deadline = std::chrono::seconds(1),
              .DeadlineMaximum = std::chrono::seconds(10),
              .Speaks = &Routed,
              .WorkloadAware = Setting,
              .ShedByLosses = true},
             {.Views = Views,
              .Overrides = Overrides,
              .Responses = Responses,
              .Peers = Peers,
              .Own = Own,
              .Counts = Counts}) {
    policy::Error LastError;
    const std::string Bulk =
        HasBulkRoute ? "\n[\"h\",\"/d/\",\"downloads\",\"stock\",true,0,0,1,0,"
                       "true]"
                     : "";
    const auto Change = settings::compareRouting(
        {}, "{\"version\":1}" + Bulk + "\n[\"h\",\"/r/\",\"r\",\"stock\"]",
        LastError);
    ClusterView View;
    View.Routing = std::make_shared<const RoutingTable>(
        *withChange({}, Change.value(), LastError));
    View.Services["stock"] =
        std::make_shared<const ServiceView>(ServiceView{.Name = "stock"});
    Views.publish(std::move(View));
  }

  // Adds a backend server beside the entry node.
  void attach(std::uint16_t Port) {
    const LocalBackendState State{.Service = "stock",
                                  .Version = "1",
                                  .Address = "127.0.0.1",
                                  .Port = Port,
                                  .Slots = 4,
                                  .Present = true};
    Backend.update(State);
    Own.apply(State, now());
    ClusterView View = *Views.current();
    View.Services["stock"] = std::make_shared<const ServiceView>(ServiceView{
        .Name = "stock", .Backends = {{.Node = OwnNode, .Version = "1"}}});
    Views.publish(std::move(View));
  }

  struct Ended {
    std::optional<ErrorKind> Kind;
    std::optional<policy::Duration> RetryAfter;
  };

  Ended ask(const std::string &Id) {
    HttpRequest Request;
    Request.Method = "GET";
    Request.Target = "/r/";
    Request.Headers = {
        {"Host", "h"}, {"Request-Id", Id}, {"Deadline-Ms", "2500"}};
    policy::Error LastError;
    EntryCall Call(
        Node, parseCall(Node, std::move(Request), now(), LastError).value());
    const CallResponse Response = Call.run();
    return {.Kind = Response.Kind, .RetryAfter = Call.retryAfter()};
  }

  // Lets the node learn that all runs of the route lose a nested call.
  void reportLosses() {
    const policy::TimePoint Now = now();
    for (policy::TimePoint At = Now - std::chrono::seconds(2); At <= Now;
         At += std::chrono::milliseconds(100)) {
      Node.Gate.onCounts("r", 1, {.Runs = 50, .Losses = 50}, At);
      (void)Node.Gate.admit({.Route = "r", .Priority = 1}, At);
    }
  }

  [[nodiscard]] std::uint64_t shedSoFar() const {
    return Node.Gate.state().Routes.at({"r", 1}).Shed;
  }

  static constexpr policy::NodeId OwnNode = 9;
  const Dialect Routed = routedDialect();
  ViewHolder Views;
  ShareOverrides Overrides;
  ResponseRecorder Responses;
  PeerPool Peers{{}};
  LocalBackend Backend;
  Metrics Counts;
  Sidecar Own{{.Speaks = &Routed}, Backend, Counts};
  Entry Node;
};

// Guards against an entry node that ignores the losses which it is told of, and
// against a rejection without a time to return at.
TEST(EntryCallLosses, ParentsAreShedAndAskedToReturn) {
  for (const auto Setting : {WorkloadSetting::On, WorkloadSetting::Auto}) {
    LossesAtEntry Entry(Setting, true);
    Entry.reportLosses();
    for (int I = 0; I < 10; ++I) {
      EXPECT_TRUE(Entry.ask("a").RetryAfter);
    }
    EXPECT_GE(Entry.Counts.value(Counter::RequestsShed), 8U);
  }
}

// Guards against counts that the entry node does not take from responses.
TEST(EntryCallLosses, CountsOfAResponseReachTheRoute) {
  LossesAtEntry Entry(WorkloadSetting::On, false);
  Entry.Own.running().setCounting(true);
  test::ScriptedBackend Scripted([&Entry](const std::string &) {
    Entry.Own.running().markLostCall("a");
    return "HTTP/1.1 500 Internal\r\nContent-Length: 0\r\n\r\n";
  });
  Entry.attach(Scripted.port());
  EXPECT_EQ(Entry.ask("a").Kind, std::nullopt);
  const auto Routes = Entry.Node.Gate.state().Routes;
  ASSERT_EQ(Routes.size(), 1U);
  const auto &Reports = Routes.begin()->second.Reports;
  ASSERT_EQ(Reports.size(), 1U);
  EXPECT_EQ(Reports[0].Node, LossesAtEntry::OwnNode);
  EXPECT_EQ(Reports[0].Counts, (policy::RouteCounts{.Runs = 1, .Losses = 1}));
}

// Guards against a nested call that is shed, and against a lost one that the
// node does not count for its parent.
TEST(EntryCallLosses, LostNestedCallIsRecordedAtItsParent) {
  LossesAtEntry Entry(WorkloadSetting::On, false);
  Entry.reportLosses();
  (void)Entry.Own.running().begin("p", {.Route = "r"});
  for (int I = 0; I < 20; ++I) {
    const auto Result = Entry.ask("p.1");
    EXPECT_EQ(Result.Kind, ErrorKind::NoBackendServer);
    EXPECT_FALSE(Result.RetryAfter);
  }
  EXPECT_TRUE(Entry.Own.running().find("p")->LostCall);
  EXPECT_EQ(Entry.Counts.value(Counter::NestedCallsLost), 20U);
}

// Guards against a deployment that does not ask for the part and is served
// differently.
TEST(EntryCallLosses, SwitchedOffChangesNothing) {
  LossesAtEntry Off(WorkloadSetting::Off, true);
  LossesAtEntry WithoutBulk(WorkloadSetting::Auto, false);
  for (LossesAtEntry *const Entry : {&Off, &WithoutBulk}) {
    (void)Entry->Own.running().begin("p", {.Route = "r"});
    Entry->reportLosses();
    const std::uint64_t Shed = Entry->shedSoFar();
    for (int I = 0; I < 50; ++I) {
      const auto Result = Entry->ask(I % 2 == 0 ? "a" : "p.1");
      EXPECT_EQ(Result.Kind, ErrorKind::NoBackendServer);
      EXPECT_FALSE(Result.RetryAfter);
    }
    EXPECT_EQ(Entry->shedSoFar(), Shed);
    EXPECT_FALSE(Entry->Own.running().find("p")->LostCall);
  }
}

} // namespace
} // namespace magnolia::daemon
