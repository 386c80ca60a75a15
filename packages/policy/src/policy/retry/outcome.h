#ifndef POLICY_RETRY_OUTCOME_H
#define POLICY_RETRY_OUTCOME_H

#include "policy/core/error_kind.h"

namespace magnolia::policy {

enum class OutcomeEvent : std::uint8_t {
  // The request could not be sent, or the sidecar rejected it. Kind states
  // whether this proves that it did not run.
  Rejected,
  // After the request was sent, the connection broke or the sidecar did not
  // respond in time.
  Lost,
  // The hedging delay passed without a response.
  Slow,
  // Results of a fence: never_run, started, or no response in time.
  FenceNeverRun,
  FenceStarted,
  FenceSilent,
};

// Outcome of one attempt.
struct Outcome {
  OutcomeEvent Event = OutcomeEvent::Rejected;
  ErrorKind Kind = ErrorKind::Internal;
  // The response carries the header Magnolia-Retry: exhausted.
  bool RetriesExhausted = false;
  // The attempt was sent to a backend server, whether it ran or not.
  bool Reached = false;
};

} // namespace magnolia::policy

#endif
