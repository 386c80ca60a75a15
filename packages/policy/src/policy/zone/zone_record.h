#ifndef POLICY_ZONE_ZONE_RECORD_H
#define POLICY_ZONE_ZONE_RECORD_H

#include <cstdint>
#include <string>

namespace magnolia::policy {

// Decision of an operator on an availability zone, stored under the key
// zones/<zone>. A zone without a record is in service.
struct ZoneRecord {
  std::string Zone;
  bool Out = false;
  // Who made the decision and why, for operators.
  std::string Reason;
  // Revision of the entry that holds the record.
  std::uint64_t Revision = 0;
};

} // namespace magnolia::policy

#endif
