#ifndef POLICY_RETRY_RETRY_DECISION_H
#define POLICY_RETRY_RETRY_DECISION_H

#include "policy/core/error_kind.h"

namespace magnolia::policy {

enum class RetryAction : std::uint8_t {
  // Send the request to another candidate.
  RetryElsewhere,
  // Ask the sidecar for a fence and pass its result to planNext.
  Fence,
  // Send a second copy and use the first response.
  Hedge,
  // Go on waiting for the attempts that are open.
  KeepWaiting,
  // Answer the caller with Kind.
  GiveUp,
};

struct RetryDecision {
  RetryAction Action = RetryAction::GiveUp;
  // Error for the caller of GiveUp.
  ErrorKind Kind = ErrorKind::Internal;
  // Set Magnolia-Retry: exhausted on the answer of GiveUp, so that no other
  // layer of the call chain retries again.
  bool RetriesExhausted = false;
};

} // namespace magnolia::policy

#endif
