#include "daemon/control/view_builder.h"

#include "policy/fleet/serving.h"
#include "policy/zone/zone.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::daemon {

namespace {

// Probes per second for a service from the routing table. Its sidecars reject
// requests by their current load, so an outdated load report costs little.
constexpr double RoutedProbesPerSecond = 0.2;

using ServiceMembers =
    std::map<std::string_view, std::vector<const policy::Member *>>;

BackendEndpoint endpointOf(const policy::ServingMember &Serving) {
  const policy::Member &Record = *Serving.Record;
  return {.Node = Record.Node,
          .Address = Record.Address,
          .PeerPort = Record.PeerPort,
          .Zone = Record.Zone,
          .Version = Record.Version,
          .Run = Record.Run,
          .Draining = Record.Draining,
          .ZoneDistance = Serving.Distance};
}

RouteRule ruleOf(const settings::RouteRecord &Route) {
  return {.PathPrefix = Route.Prefix,
          .IdempotentMethods = Route.IdempotentMethods,
          .Idempotent = Route.Idempotent,
          .Timeout = std::chrono::milliseconds(Route.TimeoutMs)};
}

ServiceView buildService(const settings::ServiceRecord &Record,
                         const ServiceMembers &Members,
                         const ViewInput &Input) {
  const auto Found = Members.find(Record.Service);
  const auto Rollout = Input.Records.Rollouts.find(Record.Service);
  const policy::RolloutRequest *Requested =
      pendingRolloutRequest(Input.Records, Record.Service);
  policy::ServingPlan Plan = policy::planService(
      {.Self = Input.Self,
       .Members = Found == Members.end()
                      ? std::span<const policy::Member *const>()
                      : std::span(Found->second),
       .Version = Record.Version,
       .RequestedVersion = Requested ? std::string_view(Requested->ToVersion)
                                     : std::string_view(),
       .Rollout =
           Rollout == Input.Records.Rollouts.end() ? nullptr : &Rollout->second,
       .ZoneDistance = Input.ZoneDistance,
       .RegionDistance = Input.RegionDistance},
      Input.WallNow);
  ServiceView View = {.Name = Record.Service,
                      .RetryRatio = Record.RetryRatio,
                      .ProbeRatio = Record.ProbeRatio,
                      .ProbeFloorPerSecond = Record.ProbeFloor,
                      .HedgePercent = Record.HedgePercent,
                      .RolloutId = std::move(Plan.RolloutId),
                      .OldVersion = std::move(Plan.OldVersion),
                      .NewVersion = std::move(Plan.NewVersion),
                      .NewShare = Plan.NewShare};
  for (const settings::RouteRecord &Route : Record.Routes) {
    View.Rules.push_back(ruleOf(Route));
  }
  for (const policy::ServingMember &Serving : Plan.Members) {
    View.Backends.push_back(endpointOf(Serving));
  }
  return View;
}

} // namespace

ClusterView buildView(const ViewInput &Input) {
  ClusterView View;
  const ServiceMembers Members = policy::membersByService(Input.Members);
  for (const auto &[Name, Record] : Input.Records.Services) {
    View.Services[Name] = std::make_shared<const ServiceView>(
        buildService(Record, Members, Input));
  }
  View.Routing = Input.Records.Routing;
  View.RoutingOutdated = Input.RoutingOutdated;
  if (View.Routing) {
    for (const auto &[Name, Limits] : *View.Routing->Services) {
      if (!View.Services.contains(Name)) {
        View.Services[Name] = std::make_shared<const ServiceView>(
            buildService({.Service = Name,
                          .ProbeRatio = 0,
                          .ProbeFloor = RoutedProbesPerSecond},
                         Members, Input));
      }
    }
  }
  for (const auto &[Name, Zone] : Input.Records.Zones) {
    if (policy::isOut(Zone)) {
      View.ZonesOut.insert(Name);
    } else if (const double Weight = policy::zoneWeight(Zone, Input.SteadyNow);
               Weight < 1) {
      View.ZoneWeight[Name] = Weight;
    }
  }
  return View;
}

} // namespace magnolia::daemon
