#ifndef SETTINGS_RECORD_HOST_ROUTE_H
#define SETTINGS_RECORD_HOST_ROUTE_H

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::settings {

// Service that receives a share of the requests of a route.
struct RouteTarget {
  std::string Service;
  double Weight = 1;

  bool operator==(const RouteTarget &) const = default;
};

// Requests to one host under one path prefix.
struct HostRoute {
  std::string Name;
  std::string Host;
  std::string Prefix;
  // At least one.
  std::vector<RouteTarget> Targets;
  bool Idempotent = false;
  // Longest time until the caller has a response; 0: no limit.
  std::uint64_t TimeoutMs = 0;
  // Latency objective; 0: none.
  std::uint64_t ObjectiveMs = 0;
  // Maximum number of backend servers that one request may run on.
  std::uint32_t MaxAttempts = 1;
  // 0 is the most urgent.
  std::uint32_t Priority = 0;
  // True if requests or responses have large bodies.
  bool Bulk = false;
  // True if requests need no key of an organisation.
  bool Public = false;

  bool operator==(const HostRoute &) const = default;
};

} // namespace magnolia::settings

#endif
