#ifndef POLICY_USAGE_DUTY_ACTION_H
#define POLICY_USAGE_DUTY_ACTION_H

#include "policy/usage/duty_record.h"

#include <cstdint>

namespace magnolia::policy {

enum class DutyActionKind : std::uint8_t {
  // Read the record from the store.
  Read,
  // Write the record by compare-and-swap with the expected revision.
  Write,
  // Send the report to the receiver.
  Send,
};

struct DutyAction {
  DutyActionKind Kind = DutyActionKind::Read;
  DutyRecord Record = {};
  std::uint64_t Expected = 0;
  WindowCounts Report = {};
  std::uint64_t Token = 0;
  // No byte may be sent after this time of the clock that runs while the
  // instance is suspended.
  TimePoint SendUntil{};
};

enum class WriteOutcome : std::uint8_t {
  Written,
  // The record has another revision.
  Conflict,
  // The write had no effect.
  NotWritten,
  // The write may have taken effect and may still do so.
  Unknown,
};

enum class SendOutcome : std::uint8_t { Accepted, Retry, Refused };

} // namespace magnolia::policy

#endif
