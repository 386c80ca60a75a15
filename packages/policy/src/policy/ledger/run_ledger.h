#ifndef POLICY_LEDGER_RUN_LEDGER_H
#define POLICY_LEDGER_RUN_LEDGER_H

#include "policy/core/request_id.h"
#include "policy/ledger/internal/expiring_table.h"

#include <string_view>
#include <unordered_map>

namespace magnolia::policy {

// State of a request id. Fenced: it has not run and never will. Running: it was
// sent to the backend server. Done: its execution has ended.
enum class RunState : std::uint8_t { Fenced, Running, Done };

// Limits of the ledger.
struct LedgerOptions {
  // Maximum number of request ids. The default suffices for 240 non-idempotent
  // requests per second over the retention period.
  std::size_t MaxRequests = 262'144;
  // Share of MaxRequests that is reserved for fences, so that requests can
  // still be fenced when very many of them arrive.
  double FenceReserve = 0.125;
  std::size_t MaxKeys = 131'072;
  // Maximum number of origins for which the newest expired id is stored.
  std::size_t MaxOrigins = 65'536;
  Duration Retention = std::chrono::minutes(10);
  // An origin whose last id expired longer ago than this may be evicted when
  // the table is full: no connection that could still deliver its requests
  // lives that long.
  Duration OriginRetention = std::chrono::hours(24);
};

// Hash of an idempotency key together with its service.
struct KeyHash {
  std::uint64_t Low = 0;
  std::uint64_t High = 0;

  bool operator==(const KeyHash &) const = default;
};

struct KeyHashHasher {
  std::size_t operator()(const KeyHash &Key) const { return Key.Low; }
};

// Idempotency key that a request has claimed.
struct KeyEntry {
  RequestId Owner;
  // True if the request did not run, so that another may claim the key.
  bool Released = false;
  bool Ended = false;
  // Time of the last claim, at which the retention period starts.
  TimePoint Since{};
};

// Newest expired request id of one origin. The sequence numbers of an origin
// increase, so an id that is not newer is older than the retention period.
struct OriginWatermark {
  Incarnation Run = 0;
  std::uint64_t Sequence = 0;
  TimePoint At{};
};

// Record of the requests that may run at most once. Entries are kept for the
// retention period and never evicted early; entries of running requests are
// kept longer. Its size is bounded by LedgerOptions. It is not thread-safe;
// callers guard it with one mutex.
struct RunLedger {
  using RequestTable =
      internal::ExpiringTable<RequestId, RequestIdHash, RunState>;
  using KeyTable = internal::ExpiringTable<KeyHash, KeyHashHasher, KeyEntry>;

  explicit RunLedger(Incarnation Own, const LedgerOptions &Limits = {})
      : Options(Limits), Self(Own), Requests(Limits.MaxRequests),
        Keys(Limits.MaxKeys) {}

  LedgerOptions Options;
  // Incarnation of this sidecar.
  Incarnation Self;
  RequestTable Requests;
  KeyTable Keys;
  std::unordered_map<NodeId, OriginWatermark> Origins;
  // Requests, fences and keys refused because their table was full.
  std::uint64_t RequestsRefused = 0;
  std::uint64_t FencesRefused = 0;
  std::uint64_t KeysRefused = 0;
  // Requests rejected as duplicates, as fenced, as too old, and because they
  // expect another incarnation of the sidecar.
  std::uint64_t Duplicates = 0;
  std::uint64_t FencedRequests = 0;
  std::uint64_t TooOld = 0;
  std::uint64_t Stale = 0;
};

} // namespace magnolia::policy

#endif
