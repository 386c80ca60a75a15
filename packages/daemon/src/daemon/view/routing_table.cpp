#include "daemon/view/routing_table.h"

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

RoutingTable makeRoutingTable(settings::RoutingRecord Record) {
  RoutingTable Table{.Version = Record.Version, .Callers = Record.Callers};
  for (settings::HostRoute &Route : Record.Routes) {
    Table.Hosts[Route.Host].push_back(std::move(Route));
  }
  for (auto &[Host, Routes] : Table.Hosts) {
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.Prefix.size() > Right.Prefix.size();
                     });
  }
  for (settings::ServiceLimits &Service : Record.Services) {
    std::string Name = Service.Service;
    Table.Services.insert_or_assign(std::move(Name), std::move(Service));
  }
  return Table;
}

const settings::HostRoute *findRoute(const RoutingTable &Table,
                                     std::string_view Host,
                                     std::string_view Path) {
  const auto Found = Table.Hosts.find(Host);
  if (Found == Table.Hosts.end()) {
    return nullptr;
  }
  const auto Route = std::find_if(
      Found->second.begin(), Found->second.end(),
      [Path](const auto &Next) { return Path.starts_with(Next.Prefix); });
  return Route == Found->second.end() ? nullptr : &*Route;
}

const settings::RouteTarget &targetAt(const settings::HostRoute &Route,
                                      double Point) {
  double Sum = 0;
  for (const settings::RouteTarget &Target : Route.Targets) {
    Sum += Target.Weight;
  }
  double Remaining = Sum * Point;
  for (const settings::RouteTarget &Target : Route.Targets) {
    Remaining -= Target.Weight;
    if (Remaining < 0) {
      return Target;
    }
  }
  return Route.Targets.back();
}

} // namespace magnolia::daemon
