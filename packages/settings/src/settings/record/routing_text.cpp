#include "settings/record/routing_text.h"

#include "settings/record/internal/routing_line.h"
#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace magnolia::settings {

std::string formatRouting(const RoutingRecord &Routing) {
  std::vector<std::string> Lines;
  Lines.reserve(Routing.Routes.size() + Routing.Services.size());
  std::size_t Size = 0;
  for (const HostRoute &Route : Routing.Routes) {
    Size += Lines.emplace_back(internal::routeLine(Route)).size() + 1;
  }
  for (const ServiceLimits &Service : Routing.Services) {
    Size += Lines.emplace_back(internal::serviceLine(Service)).size() + 1;
  }
  std::sort(Lines.begin(), Lines.end());
  std::string Text = internal::headLine(Routing.Version, Routing.Callers);
  Text.reserve(Text.size() + Size);
  for (const std::string &Line : Lines) {
    Text.append(1, '\n').append(Line);
  }
  return Text;
}

std::optional<RoutingRecord> parseRouting(std::string_view Value,
                                          policy::Error &LastError) {
  std::optional<RoutingChange> All = compareRouting({}, Value, LastError);
  if (!All) {
    return std::nullopt;
  }
  RoutingRecord Routing{.Version = All->Version,
                        .Services = std::move(All->AddedServices),
                        .Callers = All->Callers};
  for (const std::shared_ptr<const HostRoute> &Route : All->AddedRoutes) {
    Routing.Routes.push_back(*Route);
  }
  return Routing;
}

} // namespace magnolia::settings
