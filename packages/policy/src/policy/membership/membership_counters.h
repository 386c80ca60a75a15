#ifndef POLICY_MEMBERSHIP_MEMBERSHIP_COUNTERS_H
#define POLICY_MEMBERSHIP_MEMBERSHIP_COUNTERS_H

#include <cstdint>

namespace magnolia::policy {

// Counts since start.
struct MembershipCounters {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  // Payload of the datagrams sent, without authentication and UDP headers.
  std::uint64_t BytesSent = 0;
  std::uint64_t UpdatesSent = 0;
  std::uint64_t Suspected = 0;
  std::uint64_t Refuted = 0;
  std::uint64_t DeclaredUnreachable = 0;
  // Zones that were lost and whose members were restored together.
  std::uint64_t ZonesRestored = 0;
  // Records older than the one in the table.
  std::uint64_t StaleRecords = 0;
  // Members not added because the table is full.
  std::uint64_t TableFull = 0;
  // Updates not queued or evicted because the queue is full.
  std::uint64_t QueueFull = 0;
  // Indirect pings not relayed because too many are pending.
  std::uint64_t RelayFull = 0;
  // Times that this node raised its own incarnation because the fleet had a
  // record with a higher one.
  std::uint64_t IncarnationRaised = 0;
  // Gaps between ticks that were long enough to count as a pause of the
  // process.
  std::uint64_t Pauses = 0;
  // Records removed after the retention period.
  std::uint64_t Removed = 0;
};

} // namespace magnolia::policy

#endif
