#include "daemon/control/view_builder.h"

#include "policy/zone/zone.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::daemon {

namespace {

using MembersOfService =
    std::map<std::string_view, std::vector<const policy::Member *>>;

MembersOfService groupByService(std::span<const policy::Member> Members) {
  MembersOfService Result;
  for (const policy::Member &Record : Members) {
    if (policy::isLive(Record) && !Record.Service.empty()) {
      Result[Record.Service].push_back(&Record);
    }
  }
  return Result;
}

policy::Duration distanceTo(const policy::Member &Other,
                            const ViewInput &Input) {
  if (Other.Region != Input.Self.Region) {
    return Input.RegionDistance;
  }
  return Other.Zone == Input.Self.Zone ? policy::Duration{}
                                       : Input.ZoneDistance;
}

BackendEndpoint endpointOf(const policy::Member &Other,
                           const ViewInput &Input) {
  return {.Node = Other.Node,
          .Address = Other.Address,
          .PeerPort = Other.PeerPort,
          .Zone = Other.Zone,
          .Version = Other.Version,
          .Run = Other.Run,
          .Draining = Other.Draining,
          .ZoneDistance = distanceTo(Other, Input)};
}

RouteRule ruleOf(const settings::RouteRecord &Route) {
  return {.PathPrefix = Route.Prefix,
          .IdempotentMethods = Route.IdempotentMethods,
          .Idempotent = Route.Idempotent,
          .Timeout = std::chrono::milliseconds(Route.TimeoutMs)};
}

// True where the version may serve under the records of the service.
bool mayServe(std::string_view Version, const settings::ServiceRecord &Record,
              const policy::MoveRecord *Move) {
  if (Move == nullptr) {
    return Record.Version.empty() || Version == Record.Version;
  }
  switch (Move->Phase) {
  case policy::MovePhase::Planned:
  case policy::MovePhase::TakenBack:
    return Version == Move->FromVersion;
  case policy::MovePhase::Shifting:
    return Version == Move->FromVersion || Version == Move->ToVersion;
  case policy::MovePhase::Done:
    return Version == Move->ToVersion;
  }
  return true;
}

void setMove(ServiceView &View, const policy::MoveRecord &Move,
             policy::TimePoint WallNow) {
  if (Move.Phase != policy::MovePhase::Shifting) {
    return;
  }
  View.MoveId = Move.Id;
  View.OldVersion = Move.FromVersion;
  View.NewVersion = Move.ToVersion;
  // Past the deadline without Done every node serves the old version.
  View.NewShare = WallNow < Move.Deadline ? Move.Share : 0;
}

ServiceView buildService(const settings::ServiceRecord &Record,
                         const MembersOfService &Members,
                         const ViewInput &Input) {
  ServiceView View;
  View.Name = Record.Service;
  View.RetryRatio = Record.RetryRatio;
  View.ProbeRatio = Record.ProbeRatio;
  View.ProbeFloorPerSecond = Record.ProbeFloor;
  for (const settings::RouteRecord &Route : Record.Routes) {
    View.Rules.push_back(ruleOf(Route));
  }
  const auto Move = Input.Records.Moves.find(Record.Service);
  const policy::MoveRecord *const Current =
      Move == Input.Records.Moves.end() ? nullptr : &Move->second;
  if (Current != nullptr) {
    setMove(View, *Current, Input.WallNow);
  }
  if (const auto Found = Members.find(Record.Service); Found != Members.end()) {
    for (const policy::Member *const Other : Found->second) {
      if (mayServe(Other->Version, Record, Current)) {
        View.Backends.push_back(endpointOf(*Other, Input));
      }
    }
  }
  return View;
}

} // namespace

ClusterView buildView(const ViewInput &Input) {
  ClusterView View;
  const MembersOfService Members = groupByService(Input.Members);
  for (const auto &[Name, Record] : Input.Records.Services) {
    View.Services[Name] = std::make_shared<const ServiceView>(
        buildService(Record, Members, Input));
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
