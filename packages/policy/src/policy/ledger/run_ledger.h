#ifndef POLICY_LEDGER_RUN_LEDGER_H
#define POLICY_LEDGER_RUN_LEDGER_H

#include "policy/core/request_id.h"
#include "policy/ledger/internal/expiring_table.h"

#include <string_view>
#include <unordered_map>

namespace magnolia::policy {

// Fenced: has not run and never will. Running: was sent to the backend server.
// Done: its run has ended.
enum class RunState : std::uint8_t { Fenced, Running, Done };

// Limits of the ledger.
struct LedgerOptions {
  // Request ids; 240 non-idempotent requests a second for the retention.
  std::size_t MaxRequests = 262'144;
  // Share of MaxRequests that only fences may use, so that a flood of
  // requests leaves room to take some of them back.
  double FenceReserve = 0.125;
  std::size_t MaxKeys = 131'072;
  // Origins whose oldest ids are remembered.
  std::size_t MaxOrigins = 65'536;
  Duration Retention = std::chrono::minutes(10);
  // An origin whose last expired id is older than this may be forgotten to
  // make room: no connection that could still deliver its requests lives so
  // long.
  Duration OriginRetention = std::chrono::hours(24);
};

// Hash of an idempotency key together with its service.
struct KeyHash {
  std::uint64_t Low = 0;
  std::uint64_t High = 0;

  bool operator==(const KeyHash &) const = default;
};

struct KeyHashHash {
  std::size_t operator()(const KeyHash &Key) const { return Key.Low; }
};

// Claim of an idempotency key by a request.
struct KeyEntry {
  RequestId Owner;
  // Free: the request did not run, so another may claim the key.
  bool Free = false;
  bool Ended = false;
  // Start of the retention: the time of the last claim.
  TimePoint Since{};
};

// Newest expired request id of one origin. Sequences of an origin grow, so an
// id that isn't newer is older than the retention period.
struct OriginMark {
  Incarnation Run = 0;
  std::uint64_t Sequence = 0;
  TimePoint At{};
};

// Record of the requests that may run at most once. Entries are kept for the
// retention period and never evicted early; entries of requests that still run
// are kept longer. Bounded by LedgerOptions; guard it with one mutex.
struct RunLedger {
  using RequestTable =
      internal::ExpiringTable<RequestId, RequestIdHash, RunState>;
  using KeyTable = internal::ExpiringTable<KeyHash, KeyHashHash, KeyEntry>;

  explicit RunLedger(Incarnation Own, const LedgerOptions &Limits = {})
      : Options(Limits), Self(Own), Requests(Limits.MaxRequests),
        Keys(Limits.MaxKeys) {}

  LedgerOptions Options;
  // Run of this sidecar.
  Incarnation Self;
  RequestTable Requests;
  KeyTable Keys;
  std::unordered_map<NodeId, OriginMark> Origins;
  // Requests, fences and keys that found their table full.
  std::uint64_t RequestsRefused = 0;
  std::uint64_t FencesRefused = 0;
  std::uint64_t KeysRefused = 0;
  // Requests rejected as copies, as fenced, as too old, and for naming another
  // run of the sidecar.
  std::uint64_t Duplicates = 0;
  std::uint64_t FencedRequests = 0;
  std::uint64_t TooOld = 0;
  std::uint64_t Stale = 0;
};

} // namespace magnolia::policy

#endif
