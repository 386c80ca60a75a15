#ifndef POLICY_RETRY_RETRY_DECISION_H
#define POLICY_RETRY_RETRY_DECISION_H

#include "policy/core/error_kind.h"

namespace magnolia::policy {

enum class RetryAction : std::uint8_t {
  // Sends the request to another candidate.
  RetryElsewhere,
  // Requests a fence from the sidecar; its result is passed to planNext.
  Fence,
  // Sends the request a second time and uses the first response.
  Hedge,
  // Waits for the open attempts.
  KeepWaiting,
  // Responds to the caller with Kind.
  GiveUp,
};

struct RetryDecision {
  RetryAction Action = RetryAction::GiveUp;
  // Error returned to the caller; set for GiveUp.
  ErrorKind Kind = ErrorKind::Internal;
  // Sets the header Magnolia-Retry: exhausted on the response of GiveUp, so
  // that no other layer of the call chain retries.
  bool RetriesExhausted = false;
};

} // namespace magnolia::policy

#endif
