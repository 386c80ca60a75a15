#ifndef POLICY_LEDGER_RUN_ONCE_H
#define POLICY_LEDGER_RUN_ONCE_H

#include "policy/core/error_kind.h"
#include "policy/ledger/run_ledger.h"

namespace magnolia::policy {

enum class LedgerDecision : std::uint8_t {
  Run,
  // A request with the same id runs or has run.
  Duplicate,
  // The id was fenced before.
  Fenced,
  // The ledger is full; the request does not run.
  Full,
  // The id is older than the retention period, so that it is unknown whether it
  // has run.
  TooOld,
  // The request expects another incarnation of the sidecar and does not run on
  // this one.
  Stale,
};

enum class FenceDecision : std::uint8_t { NeverRun, Started };

enum class KeyDecision : std::uint8_t { Claimed, Duplicate, Full };

// Records that the request is about to be sent to the backend server. Must be
// called after admission and directly before sending; the request may be sent
// only if the decision is Run. ExpectedIncarnation is the incarnation of the
// sidecar that the request was sent to, or 0 if the request states none.
[[nodiscard]] LedgerDecision begin(RunLedger &Ledger, const RequestId &Id,
                                   Incarnation ExpectedIncarnation,
                                   TimePoint Now);
[[nodiscard]] LedgerDecision begin(RunLedger &Ledger, const RequestId &Id,
                                   TimePoint Now);

// Prevents the request from running from now on. NeverRun is a proof and stays
// true; Started means that the request runs, ran, or that nothing can be
// proved. ExpectedIncarnation is the incarnation of the sidecar that the
// request was sent to; a later incarnation has no record of it. The overload
// without it may be used only if the PeerHello of the connection has already
// shown that the sidecar did not restart.
[[nodiscard]] FenceDecision fence(RunLedger &Ledger, const RequestId &Id,
                                  Incarnation ExpectedIncarnation,
                                  TimePoint Now);
[[nodiscard]] FenceDecision fence(RunLedger &Ledger, const RequestId &Id,
                                  TimePoint Now);

// Records the end of a request for which begin returned Run. Ran is false only
// if nothing was sent to the backend server; the id then stays fenced.
void finish(RunLedger &Ledger, const RequestId &Id, bool Ran);

// Returns the kind for the rejection of a non-idempotent request that was not
// begun. It fences the id, so that no duplicate that arrives later can run and
// make the rejection false. Must be used for each refusal and expiry by
// admission and for Full. Returns DuplicateRequest if a duplicate runs or ran,
// and OutcomeUnknown if nothing can be proved.
[[nodiscard]] ErrorKind rejectionKind(RunLedger &Ledger, const RequestId &Id,
                                      ErrorKind Kind, TimePoint Now);

// Claims an idempotency key of a service for a request. Returns Duplicate if
// another request with this key runs or has run.
[[nodiscard]] KeyDecision claimKey(RunLedger &Ledger, std::string_view Service,
                                   std::string_view Key, const RequestId &Id,
                                   TimePoint Now);

// Ends the claim. Ran is false if the request did not run; a later request may
// then claim the key.
void finishKey(RunLedger &Ledger, std::string_view Service,
               std::string_view Key, const RequestId &Id, bool Ran);

// Removes entries older than the retention period. begin, fence and claimKey
// call it.
void expire(RunLedger &Ledger, TimePoint Now);

// Returns the error kind of a decision that rejects the request.
[[nodiscard]] ErrorKind errorOf(LedgerDecision Decision);
[[nodiscard]] ErrorKind errorOf(KeyDecision Decision);

} // namespace magnolia::policy

#endif
