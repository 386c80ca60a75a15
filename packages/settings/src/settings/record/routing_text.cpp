#include "settings/record/routing_text.h"

#include "settings/record/internal/line_difference.h"
#include "settings/record/internal/routing_line.h"
#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace magnolia::settings {

std::string formatRoute(const HostRoute &Route) {
  return internal::routeLine(Route);
}

std::string formatRouting(const RoutingRecord &Routing,
                          std::vector<std::string_view> RouteLines) {
  std::vector<std::string> ServiceLines;
  ServiceLines.reserve(Routing.Services.size());
  for (const ServiceLimits &Service : Routing.Services) {
    ServiceLines.push_back(internal::serviceLine(Service));
  }
  std::vector<std::string> OrganisationLines;
  OrganisationLines.reserve(Routing.Organisations.size());
  for (const OrganisationRecord &Organisation : Routing.Organisations) {
    OrganisationLines.push_back(internal::organisationLine(Organisation));
  }
  std::vector<std::string_view> Lines = std::move(RouteLines);
  Lines.insert(Lines.end(), ServiceLines.begin(), ServiceLines.end());
  Lines.insert(Lines.end(), OrganisationLines.begin(), OrganisationLines.end());
  std::sort(Lines.begin(), Lines.end());
  std::string Text = internal::headLine(Routing.Version, Routing.Callers);
  std::size_t Size = Text.size();
  for (const std::string_view Line : Lines) {
    Size += Line.size() + 1;
  }
  Text.reserve(Size);
  for (const std::string_view Line : Lines) {
    Text.append(1, internal::LineBreak).append(Line);
  }
  return Text;
}

std::string formatRouting(const RoutingRecord &Routing) {
  std::vector<std::string> Lines;
  Lines.reserve(Routing.Routes.size());
  for (const HostRoute &Route : Routing.Routes) {
    Lines.push_back(internal::routeLine(Route));
  }
  return formatRouting(Routing, {Lines.begin(), Lines.end()});
}

std::optional<RoutingRecord> parseRouting(std::string_view Value,
                                          policy::Error &LastError) {
  std::optional<RoutingChange> All = compareRouting({}, Value, LastError);
  if (!All) {
    return std::nullopt;
  }
  RoutingRecord Routing{.Version = All->Version,
                        .Services = std::move(All->AddedServices),
                        .Organisations = std::move(All->AddedOrganisations),
                        .Callers = All->Callers};
  for (const std::shared_ptr<const HostRoute> &Route : All->AddedRoutes) {
    Routing.Routes.push_back(*Route);
  }
  return Routing;
}

} // namespace magnolia::settings
