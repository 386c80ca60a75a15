#ifndef POLICY_ROUTE_ROUTE_QUERY_H
#define POLICY_ROUTE_ROUTE_QUERY_H

#include "policy/core/types.h"

#include <optional>
#include <span>

namespace magnolia::policy {

// Share of the traffic that a version receives, 0 to 1.
struct VersionShare {
  std::uint32_t Version = 0;
  double Share = 0;
};

// What choose must honour for one attempt of one request.
struct RouteQuery {
  bool Idempotent = false;
  // Candidates that were tried before.
  std::span<const NodeId> Excluded{};
  // Shares of the versions; empty: any version. A version that isn't named
  // receives nothing. A version without an eligible candidate gives its share
  // to versions with a larger one only, so a small share never grows.
  std::span<const VersionShare> Versions{};
  // Hash of the idempotency key. A keyed request goes to the first candidate
  // in rendezvous order whatever its load. Only an idempotent one goes on to
  // the second when the first is excluded: another sidecar doesn't know
  // whether the key has run.
  std::optional<std::uint64_t> Key{};
};

} // namespace magnolia::policy

#endif
