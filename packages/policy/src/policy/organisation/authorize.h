#ifndef POLICY_ORGANISATION_AUTHORIZE_H
#define POLICY_ORGANISATION_AUTHORIZE_H

#include "policy/core/error_kind.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace magnolia::policy {

// Organisation that has the key of a request.
struct KeyOwner {
  std::string_view Name;
  // Replaces the priority of the route, if it is set.
  std::optional<std::uint32_t> Priority;
};

// What a nested call inherits from the request that makes it.
struct InheritedIdentity {
  // Empty if that request has none.
  std::string_view Organisation;
  std::uint32_t Priority = 0;
};

// Request whose organisation is to be found.
struct AuthorizationQuery {
  // True if the routing table has organisations.
  bool Configured = false;
  bool PublicRoute = false;
  // True if a newer routing table is known to exist.
  bool TableOutdated = false;
  std::uint32_t RoutePriority = 0;
  // Set if the local backend server makes the call while it runs a request.
  std::optional<InheritedIdentity> Parent;
  // Set if the request has one valid key that the table has.
  std::optional<KeyOwner> Owner;
};

struct Authorization {
  // Set if the request must not run.
  std::optional<ErrorKind> Refusal;
  // Empty if the request has none.
  std::string_view Organisation;
  // 0 is the most urgent.
  std::uint32_t Priority = 0;
  // True if the backend server is told the organisation.
  bool StatesOrganisation = false;
};

// Decides whether a request may run and for which organisation. A nested call
// needs no key: it was made for a request that had one.
[[nodiscard]] Authorization authorize(const AuthorizationQuery &Query);

// Kind of the refusal of a request whose key the routing table does not have.
// Only the newest table can tell that a key does not exist.
[[nodiscard]] ErrorKind refusalOfKey(bool TableOutdated);

} // namespace magnolia::policy

#endif
