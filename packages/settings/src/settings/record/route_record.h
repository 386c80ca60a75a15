#ifndef SETTINGS_RECORD_ROUTE_RECORD_H
#define SETTINGS_RECORD_ROUTE_RECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::settings {

// Properties of a service's requests under one path prefix.
struct RouteRecord {
  std::string Prefix;
  // Methods that may run more than once; empty means GET, HEAD and OPTIONS.
  std::vector<std::string> IdempotentMethods;
  // Applies to every method if set.
  std::optional<bool> Idempotent;
  // 0 means the default deadline from the node's settings.
  std::uint64_t TimeoutMs = 0;

  bool operator==(const RouteRecord &) const = default;
};

} // namespace magnolia::settings

#endif
