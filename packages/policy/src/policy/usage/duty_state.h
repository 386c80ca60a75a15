#ifndef POLICY_USAGE_DUTY_STATE_H
#define POLICY_USAGE_DUTY_STATE_H

#include "policy/usage/duty_facts.h"
#include "policy/usage/duty_record.h"

#include <cstdint>
#include <optional>

namespace magnolia::policy {

// Record as it was read from the store.
struct SeenDuty {
  // The empty record for a missing or an unreadable one.
  DutyRecord Record;
  // 0 for a missing record.
  std::uint64_t Revision = 0;
  bool Readable = true;
  // Time after which the record was read.
  TimePoint Since{};
};

// Write whose outcome is not known yet.
struct StartedWrite {
  DutyRecord Record;
  std::uint64_t Expected = 0;
  TimePoint StartedAt{};
  // True once an attempt may have reached the store.
  bool MayHaveLanded = false;
  // True if a read showed that the write is not in effect yet.
  bool Repeat = false;
};

struct DutyCounts {
  std::uint64_t Gained = 0;
  std::uint64_t Lost = 0;
  // Windows recorded in the store, accepted by the receiver, accepted after
  // they were due, and never to be accepted.
  std::uint64_t Recorded = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Late = 0;
  std::uint64_t GivenUp = 0;
};

// What one node knows and does about the duty to send the reports.
struct DutyState {
  DutyFacts Known;
  // Time of the last sign of the holder; zero before the first decision.
  TimePoint HolderHeardAt{};
  // Time since when a new holder is needed.
  std::optional<TimePoint> NeededSince;
  // Record that this node is about to replace.
  std::optional<SeenDuty> Seen;
  std::optional<StartedWrite> Write;
  bool StoreBusy = false;
  // Start of the last read.
  TimePoint ReadStartedAt{};
  bool Sending = false;
  // True while this node is the holder, as far as it knows.
  bool Holding = false;
  DutyRecord Held;
  std::uint64_t HeldRevision = 0;
  // Start of the write from which the right to send counts.
  TimePoint LeaseStart{};
  // Windows up to this one were accepted or refused by the receiver.
  UsageWindow Done = 0;
  TimePoint NextStoreCall{};
  TimePoint NextSend{};
  Duration SendPause{};
  std::uint64_t Writes = 0;
  DutyCounts Counts;
};

} // namespace magnolia::policy

#endif
