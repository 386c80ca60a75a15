#ifndef POLICY_USAGE_DUTY_RECORD_H
#define POLICY_USAGE_DUTY_RECORD_H

#include "policy/usage/window_counts.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::policy {

// Record in the store that names the holder and the reports that may be sent.
struct DutyRecord {
  // Identifies the write of this record.
  std::string OperationId;
  // Name of the holder, unique to its instance.
  std::string Holder;
  NodeId Node = 0;
  // Fencing token of the holder. 0 in the write by which it became the holder:
  // the token is the revision of that write, which no other write has.
  std::uint64_t Token = 0;
  // Epoch of the store when the record was written.
  std::uint64_t Epoch = 0;
  // Windows up to this one are recorded or are never reported.
  UsageWindow Recorded = 0;
  // Recorded reports that may not have been sent, in ascending order; at most
  // MaxKeptWindows.
  std::vector<WindowCounts> Pending;

  bool operator==(const DutyRecord &) const = default;
};

} // namespace magnolia::policy

#endif
