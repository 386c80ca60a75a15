#ifndef POLICY_ROUTE_ROUTE_QUERY_H
#define POLICY_ROUTE_ROUTE_QUERY_H

#include "policy/core/types.h"

#include <optional>
#include <span>

namespace magnolia::policy {

// Share of the traffic that a version receives, from 0 to 1.
struct VersionShare {
  std::uint32_t Version = 0;
  double Share = 0;
};

// Constraints of choose for one attempt of one request.
struct RouteQuery {
  bool Idempotent = false;
  // True if the body of the request is large, so that it takes a part of the
  // link of the candidate.
  bool LargeBody = false;
  // True if a candidate counts as full after a failed connection attempt and,
  // for a request with a large body, by the use of its link.
  bool WorkloadAware = false;
  // Candidates that earlier attempts have used.
  std::span<const NodeId> Excluded{};
  // Shares of the versions; empty if any version may serve. A version that is
  // not listed receives no requests. If a version has no eligible candidate,
  // only versions with a larger share take over its requests, so that a small
  // share never grows.
  std::span<const VersionShare> Versions{};
  // Hash of the idempotency key. A request with a key goes to the first
  // candidate in rendezvous order, regardless of load. If that candidate is
  // excluded, only an idempotent request goes to the second one: another
  // sidecar does not know whether a request with this key has run.
  std::optional<std::uint64_t> Key{};
};

} // namespace magnolia::policy

#endif
