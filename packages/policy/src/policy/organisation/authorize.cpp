#include "policy/organisation/authorize.h"

namespace magnolia::policy {

ErrorKind refusalOfKey(bool TableOutdated) {
  return TableOutdated ? ErrorKind::ConfigurationOutdated
                       : ErrorKind::Unauthorized;
}

Authorization authorize(const AuthorizationQuery &Query) {
  if (!Query.Configured) {
    return {.Refusal = std::nullopt,
            .Organisation = {},
            .Priority = Query.RoutePriority};
  }
  if (Query.Parent) {
    return {.Refusal = std::nullopt,
            .Organisation = Query.Parent->Organisation,
            .Priority = Query.Parent->Priority,
            .StatesOrganisation =
                !Query.PublicRoute && !Query.Parent->Organisation.empty()};
  }
  if (Query.PublicRoute) {
    return {.Refusal = std::nullopt,
            .Organisation = {},
            .Priority = Query.RoutePriority};
  }
  if (!Query.Owner) {
    return {.Refusal = refusalOfKey(Query.TableOutdated), .Organisation = {}};
  }
  return {.Refusal = std::nullopt,
          .Organisation = Query.Owner->Name,
          .Priority = Query.Owner->Priority.value_or(Query.RoutePriority),
          .StatesOrganisation = true};
}

} // namespace magnolia::policy
