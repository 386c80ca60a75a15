#ifndef STANDIN_STORE_KV_STATE_H
#define STANDIN_STORE_KV_STATE_H

#include "standin_store/stored_entry.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::standin {

// Bounds on the history kept for watches.
struct HistoryLimits {
  std::size_t MaxEvents = 4096;
  std::size_t MaxBytes = 32UL * 1024 * 1024;
};

// Contents of the store: entries, leases and the recent history. The caller
// passes the time and does the locking.
class KvState {
public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Milliseconds = std::chrono::milliseconds;

  // Result of a write, with its HTTP status.
  struct WriteResult {
    int Status = 0;
    std::uint64_t Revision = 0;
  };

  // Changes after a revision, or the full range if the history no longer holds
  // them.
  struct Changes {
    std::vector<StoredEntry> Events;
    bool Full = false;
  };

  explicit KvState(HistoryLimits Limits = {});

  // Deletes the entries of expired leases.
  void expire(TimePoint Now);
  [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

  WriteResult put(StoredEntry Entry, std::uint64_t Expected);
  WriteResult erase(std::string_view Key, std::uint64_t Expected);
  std::uint64_t grant(Milliseconds TimeToLive, TimePoint Now);
  bool keepAlive(std::uint64_t Lease, TimePoint Now);
  bool revoke(std::uint64_t Lease);

  [[nodiscard]] const StoredEntry *find(std::string_view Key) const;
  [[nodiscard]] std::vector<StoredEntry> range(std::string_view Prefix) const;
  [[nodiscard]] Changes changes(std::string_view Prefix,
                                std::uint64_t After) const;
  [[nodiscard]] std::uint64_t revision() const { return LastRevision; }

private:
  struct LeaseState {
    Milliseconds TimeToLive;
    TimePoint End;
  };

  void record(StoredEntry Event);

  HistoryLimits Limits;
  std::uint64_t LastRevision = 0;
  std::uint64_t LastLease = 0;
  std::map<std::string, StoredEntry, std::less<>> Entries;
  std::map<std::uint64_t, LeaseState> Leases;
  std::deque<StoredEntry> History;
  std::size_t HistoryBytes = 0;
};

} // namespace magnolia::standin

#endif
