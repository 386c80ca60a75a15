#ifndef SETTINGS_RECORD_ZONE_RECORD_H
#define SETTINGS_RECORD_ZONE_RECORD_H

#include <cstdint>
#include <string>

namespace magnolia::settings {

// Operators' decision on one availability zone, under zones/<zone>.
struct ZoneRecord {
  std::string Zone;
  bool Out = false;
  // Wall-clock time of the decision, in milliseconds since the Unix epoch.
  std::uint64_t SinceMs = 0;
  std::string OperationId;
  // Operator who took the decision, shown to other operators.
  std::string Operator;

  bool operator==(const ZoneRecord &) const = default;
};

} // namespace magnolia::settings

#endif
