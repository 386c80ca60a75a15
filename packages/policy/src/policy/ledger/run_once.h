#ifndef POLICY_LEDGER_RUN_ONCE_H
#define POLICY_LEDGER_RUN_ONCE_H

#include "policy/core/error_kind.h"
#include "policy/ledger/run_ledger.h"

namespace magnolia::policy {

enum class LedgerDecision : std::uint8_t {
  Run,
  // The same id runs or has run.
  Duplicate,
  // A fence came first.
  Fenced,
  // No room: not run.
  Full,
  // Older than the retention period: whether it has run isn't known.
  TooOld,
  // Names another run of the sidecar: not run by this one.
  Stale,
};

enum class FenceDecision : std::uint8_t { NeverRun, Started };

enum class KeyDecision : std::uint8_t { Claimed, Duplicate, Full };

// Records that the request is about to be sent to the backend server. Call it
// after admission, directly before sending, and send only on Run. Named is the
// run of the sidecar that the request names; 0 where it names none.
[[nodiscard]] LedgerDecision begin(RunLedger &Ledger, const RequestId &Id,
                                   Incarnation Named, TimePoint Now);
[[nodiscard]] LedgerDecision begin(RunLedger &Ledger, const RequestId &Id,
                                   TimePoint Now);

// Asks that the request never runs from now on. NeverRun is a proof and stays
// true; Started means that it runs, ran, or that nothing can be proved. Named
// is the run of the sidecar to which the request was sent: a later run knows
// nothing of it. Use the form without it only where the connection's PeerHello
// has already shown that the sidecar did not restart.
[[nodiscard]] FenceDecision fence(RunLedger &Ledger, const RequestId &Id,
                                  Incarnation Named, TimePoint Now);
[[nodiscard]] FenceDecision fence(RunLedger &Ledger, const RequestId &Id,
                                  TimePoint Now);

// Records the end of a request for which begin returned Run. Ran is false only
// where nothing was sent to the backend server; the id then stays fenced.
void finish(RunLedger &Ledger, const RequestId &Id, bool Ran);

// Kind with which a non-idempotent request that was not begun may be rejected.
// It fences the id, so that a later copy cannot make the rejection false; use
// it for every refusal and expiry by admission and for Full. DuplicateRequest
// where a copy runs or ran, OutcomeUnknown where nothing can be proved.
[[nodiscard]] ErrorKind rejectionKind(RunLedger &Ledger, const RequestId &Id,
                                      ErrorKind Kind, TimePoint Now);

// Claims an idempotency key of a service for a request. Duplicate where
// another request holds it and runs or has run.
[[nodiscard]] KeyDecision claimKey(RunLedger &Ledger, std::string_view Service,
                                   std::string_view Key, const RequestId &Id,
                                   TimePoint Now);

// Ends the claim. Ran is false where the request did not run: the key is then
// free for a later copy.
void finishKey(RunLedger &Ledger, std::string_view Service,
               std::string_view Key, const RequestId &Id, bool Ran);

// Removes what is older than the retention period. begin, fence and claimKey
// do it as well.
void expire(RunLedger &Ledger, TimePoint Now);

// Error kind of a decision other than Run.
[[nodiscard]] ErrorKind errorOf(LedgerDecision Decision);
[[nodiscard]] ErrorKind errorOf(KeyDecision Decision);

} // namespace magnolia::policy

#endif
