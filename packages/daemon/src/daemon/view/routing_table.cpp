#include "daemon/view/routing_table.h"

#include "settings/record/routing_change.h"

#include <algorithm>
#include <span>
#include <utility>

namespace magnolia::daemon {
namespace {

using ServiceMap = RoutingTable::ServiceMap;

// Returns nothing and sets the error if a service has two lines; the error
// names the first such service.
std::shared_ptr<const ServiceMap>
withServices(const std::shared_ptr<const ServiceMap> &Last,
             const settings::RoutingChange &Change, policy::Error &LastError) {
  if (Change.RemovedServices.empty() && Change.AddedServices.empty()) {
    return Last;
  }
  ServiceMap Services = *Last;
  for (const settings::ServiceLimits &Service : Change.RemovedServices) {
    Services.erase(Service.Service);
  }
  std::optional<std::string> Twice;
  for (const settings::ServiceLimits &Service : Change.AddedServices) {
    const bool IsNew = Services.emplace(Service.Service, Service).second;
    if (!IsNew && (!Twice || Service.Service < *Twice)) {
      Twice = Service.Service;
    }
  }
  if (Twice) {
    LastError = {policy::ErrorKind::BadRequest,
                 "routing table: the service " + *Twice + " has two lines"};
    return nullptr;
  }
  return std::make_shared<const ServiceMap>(std::move(Services));
}

std::size_t countBulk(std::span<const RouteIndex::Route> Routes) {
  return static_cast<std::size_t>(
      std::count_if(Routes.begin(), Routes.end(),
                    [](const RouteIndex::Route &Next) { return Next->Bulk; }));
}

// Returns null and sets the error if the organisations contradict each other.
std::shared_ptr<const OrganisationIndex>
withOrganisations(const std::shared_ptr<const OrganisationIndex> &Last,
                  const settings::RoutingChange &Change,
                  policy::Error &LastError) {
  if (Change.RemovedOrganisations.empty() &&
      Change.AddedOrganisations.empty()) {
    return Last;
  }
  auto Next = withChanges(*Last, Change.RemovedOrganisations,
                          Change.AddedOrganisations, LastError);
  return Next ? std::make_shared<const OrganisationIndex>(*std::move(Next))
              : nullptr;
}

} // namespace

std::optional<RoutingTable> withChange(const RoutingTable &Last,
                                       const settings::RoutingChange &Change,
                                       policy::Error &LastError) {
  std::shared_ptr<const ServiceMap> Services =
      withServices(Last.Services, Change, LastError);
  if (!Services) {
    return std::nullopt;
  }
  std::shared_ptr<const OrganisationIndex> Organisations =
      withOrganisations(Last.Organisations, Change, LastError);
  if (!Organisations) {
    return std::nullopt;
  }
  return RoutingTable{.Version = Change.Version,
                      .Routes = withChanges(Last.Routes, Change.RemovedRoutes,
                                            Change.AddedRoutes),
                      .Services = std::move(Services),
                      .Organisations = std::move(Organisations),
                      .Callers = Change.Callers,
                      .BulkRoutes = Last.BulkRoutes +
                                    countBulk(Change.AddedRoutes) -
                                    countBulk(Change.RemovedRoutes)};
}

const settings::HostRoute *findRoute(const RoutingTable &Table,
                                     std::string_view Host,
                                     std::string_view Path) {
  return findRoute(Table.Routes, Host, Path);
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
