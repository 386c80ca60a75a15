#ifndef DAEMON_TEST_SUPPORT_ROUTED_ENTRY_H
#define DAEMON_TEST_SUPPORT_ROUTED_ENTRY_H

#include "daemon/entry/entry_call.h"
#include "daemon/entry/parse_call.h"
#include "daemon/net/clock.h"
#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace magnolia::daemon::test {

inline std::string_view parentOf(std::string_view Id) {
  const std::size_t Dot = Id.rfind('.');
  return Dot == std::string_view::npos ? std::string_view() : Id.substr(0, Dot);
}

inline Dialect routedDialect() {
  Dialect Made = nativeDialect();
  Made.RoutesByHost = true;
  Made.KeepsRequestId = true;
  Made.Headers.RequestId = "Request-Id";
  Made.Headers.Deadline = "Deadline-Ms";
  Made.ParentOf = parentOf;
  return Made;
}

// An entry node with routes to a service that has no backend server, so that an
// admitted request ends with NoBackendServer. The latency objective is 10 s.
struct RoutedEntry {
  RoutedEntry(policy::WorkloadSetting Setting, bool HasBulkRoute,
              policy::TimePoint Start = {})
      : Node({.Node = OwnNode,
              .Start = Start,
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
        {},
        "{\"version\":1}" + Bulk +
            "\n[\"h\",\"/r/\",\"r\",\"stock\",false,0,10000]",
        LastError);
    ClusterView View;
    View.Routing = std::make_shared<const RoutingTable>(
        *withChange({}, Change.value(), LastError));
    View.Services["stock"] =
        std::make_shared<const ServiceView>(ServiceView{.Name = "stock"});
    Views.publish(std::move(View));
  }

  // Adds a backend server beside the entry node.
  void attach(std::uint16_t Port, bool Draining = false) {
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
        .Name = "stock",
        .Backends = {{.Node = OwnNode, .Version = "1", .Draining = Draining}}});
    Views.publish(std::move(View));
  }

  struct Ended {
    std::optional<policy::ErrorKind> Kind;
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

} // namespace magnolia::daemon::test

#endif
