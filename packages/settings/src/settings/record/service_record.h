#ifndef SETTINGS_RECORD_SERVICE_RECORD_H
#define SETTINGS_RECORD_SERVICE_RECORD_H

#include "settings/record/route_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::settings {

// Configuration of one service, under services/<name>.
struct ServiceRecord {
  std::string Service;
  // Identifies the write, so that a lost response can be resolved.
  std::string OperationId;
  // Version that serves while the service has no rollout record. If empty,
  // every version serves, also one that has just been started in addition to
  // the old one.
  std::string Version;
  std::vector<RouteRecord> Routes;
  // Extra attempts per request that retries and hedges may use.
  double RetryRatio = 0.1;
  // Probes per request, and probes per second on top.
  double ProbeRatio = 0.01;
  double ProbeFloor = 5.0;
  // Hedges as a percentage of the requests, from 0 to 20; without a value, the
  // setting of each node applies.
  std::optional<std::uint64_t> HedgePercent;

  bool operator==(const ServiceRecord &) const = default;
};

} // namespace magnolia::settings

#endif
